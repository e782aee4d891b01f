import { build } from "esbuild";
import { readFileSync } from "node:fs";

const DEV_TEMPLATE = "examples/piedra-viva.ini";

/** Options of {@link bundle}. */
export interface BundleOptions {
  readonly outfile: string;
  /** Shortens names and removes white space, so that less is loaded at startup. @default false */
  readonly minify?: boolean;
}

/** Bundles the program and its libraries into one CommonJS file. */
export async function bundle({ outfile, minify = false }: BundleOptions): Promise<void> {
  await build({
    entryPoints: ["src/cli/main.ts"],
    outfile,
    minify,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // Prefers ES modules: the CommonJS build of ts-results fails at run time, as it requires tslib.
    mainFields: ["module", "main"],
    define: { BUNDLED_TEMPLATE: JSON.stringify(readFileSync(DEV_TEMPLATE, "utf8")) },
    // Requiring a package that is not bundled would print a warning at every start.
    alias: { "cbor-extract": "./scripts/no-native-addon.ts" },
    logLevel: "warning",
  });
}
