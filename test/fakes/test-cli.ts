import { Err, Ok, type Result } from "ts-results";
import sade from "sade";
import { CliContext } from "../../src/cli/context.ts";
import { addConfigCommands } from "../../src/cli/config-commands.ts";
import { addKeyCommands } from "../../src/cli/key-commands.ts";
import { addStatusCommands } from "../../src/cli/status-commands.ts";
import { EntryStatusReader } from "../../src/coordination/entry-directory.ts";
import type { InstanceList } from "../../src/ports/instance-list.ts";
import type { KeyValueService } from "../../src/ports/key-value-service.ts";
import type { EntryStatus } from "../../src/protocol/entry-status.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { FixedInstanceList } from "./planned-fleet.ts";
import { SeededRandom } from "./seeded-random.ts";
import { advanceUntilSettled, VirtualClock } from "./virtual-clock.ts";

class TestStatusReader extends EntryStatusReader {
  readonly statuses = new Map<string, EntryStatus>();

  read(adminAddress: string): Promise<Result<EntryStatus, string>> {
    const status = this.statuses.get(adminAddress);
    return Promise.resolve(status === undefined ? Err("entry is unreachable") : Ok(status));
  }
}

/** Runs commands in this process against in-memory services and records what they print. */
export class TestCli extends CliContext {
  readonly clock = new VirtualClock();
  readonly random = new SeededRandom(3);
  readonly statusReader = new TestStatusReader();
  readonly store = new KeyValueStore({ clock: this.clock });
  readonly list = new FixedInstanceList();
  readonly files = new Map<string, string>();
  out: string[] = [];
  errors: string[] = [];
  code: number | undefined;

  keyValue(): KeyValueService {
    return this.store;
  }

  instanceList(): InstanceList {
    return this.list;
  }

  readFile(path: string): string | undefined {
    return this.files.get(path);
  }

  print(line: string): void {
    this.out.push(line);
  }

  printError(line: string): void {
    this.errors.push(line);
  }

  exit(code: number): void {
    this.code = code;
  }

  program(): sade.Sade {
    const program = sade("teaselspool");
    addConfigCommands(program, this);
    addKeyCommands(program, this);
    addStatusCommands(program, this);
    return program;
  }

  /** Runs a command line. Adds the key-value URL unless the line starts with `config check`. */
  async run(line: string): Promise<void> {
    this.out = [];
    this.errors = [];
    this.code = undefined;
    const url = line.startsWith("config check") ? [] : ["--key-value", "http://127.0.0.1:9100"];
    const argv = ["node", "teaselspool", ...line.split(" "), ...url];
    const lazy = this.program().parse(argv, { lazy: true });
    await advanceUntilSettled(
      this.clock,
      Promise.resolve(Reflect.apply(lazy.handler, undefined, lazy.args)),
    );
  }
}
