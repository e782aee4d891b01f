#!/usr/bin/env node
import sade from "sade";
import { VERSION } from "./version.ts";

const program = sade("teaselspool");
program.version(VERSION);
program.parse(process.argv);
