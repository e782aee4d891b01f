/**
 * Runs every `test/**\/*.test.ts` file in its own process and prints `N passed, N failed` as the last
 * line.
 *
 * The counts come from the `Total` and `Passed` lines that uvu prints at the end of each file. A file
 * without them counts as one failure. Arguments select test files by substring. Entries of
 * KNOWN-RED.txt that start with `test:` name files whose failures are printed but don't fail the run.
 */
import { spawn } from "node:child_process";
import { existsSync, findTestFiles, readFileSync } from "./fs.ts";

interface FileResult {
  readonly file: string;
  readonly passed: number;
  readonly failed: number;
  readonly output: string;
}

const PARALLEL_FILES = 4;
const FILE_TIMEOUT_MS = 300_000;

function knownRedFiles(): readonly string[] {
  if (!existsSync("KNOWN-RED.txt")) return [];
  const lines = readFileSync("KNOWN-RED.txt", "utf8").split("\n");
  return lines.flatMap((line) => /^test:\s*(\S+)/.exec(line)?.slice(1) ?? []);
}

function runFile(file: string): Promise<FileResult> {
  return new Promise((resolve) => {
    let output = "";
    const child = spawn(process.execPath, ["--import", "tsx", file], {
      stdio: ["ignore", "pipe", "pipe"],
      timeout: FILE_TIMEOUT_MS,
      killSignal: "SIGKILL",
    });
    const collect = (chunk: Buffer): void => {
      output += chunk.toString("utf8");
    };
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    child.on("close", (code) => {
      const total = Number(/Total:\s+(\d+)/.exec(output)?.[1] ?? 0);
      const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? 0);
      const crashed = code !== 0 && total === passed ? 1 : 0;
      const withoutTests = total === 0 && crashed === 0 ? 1 : 0;
      resolve({ file, passed, failed: total - passed + crashed + withoutTests, output });
    });
  });
}

function report(result: FileResult, knownRed: readonly string[]): void {
  const verdict =
    result.failed === 0 ? "ok" : knownRed.includes(result.file) ? "KNOWN RED" : "FAIL";
  console.log(`${verdict} ${result.file} (${result.passed} passed, ${result.failed} failed)`);
  if (result.failed > 0) console.log(result.output);
}

async function main(): Promise<void> {
  const filters = process.argv.slice(2);
  const files = findTestFiles("test")
    .filter((file) => filters.length === 0 || filters.some((filter) => file.includes(filter)))
    .sort();
  const knownRed = knownRedFiles();
  const results: FileResult[] = [];
  const pending = [...files];
  const worker = async (): Promise<void> => {
    for (let file = pending.shift(); file !== undefined; file = pending.shift()) {
      const result = await runFile(file);
      results.push(result);
      report(result, knownRed);
    }
  };
  await Promise.all(Array.from({ length: PARALLEL_FILES }, worker));
  const counted = results.filter((result) => !knownRed.includes(result.file));
  const passed = results.reduce((sum, result) => sum + result.passed, 0);
  const failed = counted.reduce((sum, result) => sum + result.failed, 0);
  console.log(`${passed} passed, ${failed} failed`);
  process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
}

await main();
