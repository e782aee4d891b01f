#!/usr/bin/env node
import sade from "sade";
import { addStandInCommands } from "./stand-in.ts";
import { VERSION } from "./version.ts";

const program = sade("teaselspool");
program.version(VERSION);
addStandInCommands(program);
program.parse(process.argv);
