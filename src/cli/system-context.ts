import { readFileSync } from "node:fs";
import type { EntryStatusReader } from "../coordination/entry-directory.ts";
import type { Clock } from "../ports/clock.ts";
import type { InstanceList } from "../ports/instance-list.ts";
import type { KeyValueService } from "../ports/key-value-service.ts";
import type { Random } from "../ports/random.ts";
import { CliContext, type ExitCode } from "./context.ts";

/** Options of {@link SystemContext}. */
export interface SystemContextOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly statusReader: EntryStatusReader;
  readonly keyValue: (url: string) => KeyValueService;
  readonly instanceList: (url: string) => InstanceList;
}

/** Context of a command that runs in its own process. */
export class SystemContext extends CliContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly statusReader: EntryStatusReader;
  readonly #options: SystemContextOptions;

  constructor(options: SystemContextOptions) {
    super();
    this.clock = options.clock;
    this.random = options.random;
    this.statusReader = options.statusReader;
    this.#options = options;
  }

  keyValue(url: string): KeyValueService {
    return this.#options.keyValue(url);
  }

  instanceList(url: string): InstanceList {
    return this.#options.instanceList(url);
  }

  readFile(path: string): string | undefined {
    try {
      return readFileSync(path, "utf8");
    } catch {
      return undefined;
    }
  }

  print(line: string): void {
    process.stdout.write(`${line}\n`);
  }

  printError(line: string): void {
    process.stderr.write(`${line}\n`);
  }

  exit(code: ExitCode): void {
    process.exitCode = code;
  }
}
