/** Builds `target/teaselspool.cjs`, the program as it is deployed on the platform. */
import { mkdirSync } from "node:fs";
import { bundle } from "./bundle.ts";

mkdirSync("target", { recursive: true });
await bundle({ outfile: "target/teaselspool.cjs", minify: true });
