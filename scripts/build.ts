/**
 * Builds `dist/teaselspool`, a single executable: the bundled program injected into a copy of the
 * Node.js binary. It needs nothing from outside the repository at run time.
 */
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync, readFileSync } from "node:fs";
import { inject } from "postject";
import { bundle } from "./bundle.ts";

const BUILD_DIR = "build";
const BUNDLE = `${BUILD_DIR}/teaselspool.cjs`;
const SEA_CONFIG = `${BUILD_DIR}/sea-config.json`;
const SEA_BLOB = `${BUILD_DIR}/teaselspool.blob`;
const BINARY = "dist/teaselspool";
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

async function makeExecutable(): Promise<void> {
  const config = { main: BUNDLE, output: SEA_BLOB, disableExperimentalSEAWarning: true };
  writeFileSync(SEA_CONFIG, JSON.stringify(config));
  execFileSync(process.execPath, ["--experimental-sea-config", SEA_CONFIG], { stdio: "pipe" });
  mkdirSync("dist", { recursive: true });
  rmSync(BINARY, { force: true });
  copyFileSync(process.execPath, BINARY);
  chmodSync(BINARY, 0o755);
  await inject(BINARY, "NODE_SEA_BLOB", readFileSync(SEA_BLOB), { sentinelFuse: SENTINEL_FUSE });
}

mkdirSync(BUILD_DIR, { recursive: true });
await bundle({ outfile: BUNDLE });
await makeExecutable();
console.log(`built ${BINARY}`);
