/**
 * Builds `dist/teaselspool`, a single executable: the bundled program injected into a copy of the
 * Node.js binary. Nothing outside the repository is needed at run time.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync, readFileSync } from "node:fs";
import { inject } from "postject";

const BUILD_DIR = "build";
const BUNDLE = `${BUILD_DIR}/teaselspool.cjs`;
const SEA_CONFIG = `${BUILD_DIR}/sea-config.json`;
const SEA_BLOB = `${BUILD_DIR}/teaselspool.blob`;
const BINARY = "dist/teaselspool";
const DEV_TEMPLATE = "examples/piedra-viva.ini";
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

async function bundle(): Promise<void> {
  await build({
    entryPoints: ["src/cli/main.ts"],
    outfile: BUNDLE,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // Without this order the bundled ts-results fails at run time, because it requires tslib.
    mainFields: ["module", "main"],
    define: { BUNDLED_TEMPLATE: JSON.stringify(readFileSync(DEV_TEMPLATE, "utf8")) },
    // A require of a package that is not bundled would print a warning at every start.
    alias: { "cbor-extract": "./scripts/no-native-part.ts" },
    logLevel: "warning",
  });
}

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
await bundle();
await makeExecutable();
console.log(`built ${BINARY}`);
