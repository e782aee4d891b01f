/** File helpers for scripts. */
import { readdirSync } from "node:fs";
import { join } from "node:path";

export { existsSync, readFileSync } from "node:fs";

/** Returns every `*.test.ts` file below a folder. */
export function findTestFiles(folder: string): readonly string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".test.ts"))
    .map((file) => join(folder, file));
}
