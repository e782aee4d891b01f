/** Entry instances, stand-ins and backend servers as separate processes on loopback. */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";

const WAIT_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 100;

/** A started program that writes JSON lines to standard output. */
export interface Program {
  readonly child: ChildProcess;
  /** Lines of standard output; one that is not JSON is stored as `{ raw: line }`. */
  readonly lines: Record<string, unknown>[];
  /** Lines of standard error. */
  readonly errors: string[];
}

/** Process of a backend server. */
export interface ServerProgram extends Program {
  readonly name: string;
  readonly zone: string;
}

/** Start or end of a task, as printed by its backend server. */
export interface TaskEvent {
  readonly event: "start" | "end";
  /** Milliseconds since the Unix epoch, by the machine's clock. */
  readonly at: number;
  readonly requestId: string;
  readonly attempt: number;
  readonly team?: string;
}

/** Process of an entry instance. */
export interface EntryProcessHandle extends Program {
  readonly zone: string;
  readonly callerUrl: string;
  readonly adminUrl: string;
}

interface StatusReply {
  readonly incarnation?: string;
  readonly peers?: readonly string[];
  readonly held?: readonly { readonly dispatchable: boolean }[];
}

interface SlotOwnershipMembers {
  readonly members: readonly { readonly incarnation: string; readonly state: string }[];
}

/** Options of {@link ProcessCluster}. */
export interface ClusterOptions {
  readonly zones: readonly string[];
  readonly entriesPerZone: number;
  readonly serversPerZone: number;
  readonly slots: number;
  /** Template that is applied before the entries start. */
  readonly template: string;
  /** Command that runs the product. Runs from source by default. */
  readonly command?: readonly string[];
}

const SOURCE_COMMAND = [process.execPath, "--import", "tsx", "src/cli/main.ts"];

export class ProcessCluster {
  readonly entries: EntryProcessHandle[] = [];
  readonly servers: ServerProgram[] = [];
  readonly #replaced = new Set<ServerProgram>();
  readonly folder = mkdtempSync(join(tmpdir(), "teaselspool-"));
  keyValueUrl = "";
  readonly #programs: Program[] = [];
  readonly #options: ClusterOptions;
  instanceListUrl = "";

  constructor(options: ClusterOptions) {
    this.#options = options;
  }

  /** Starts every process and waits until each entry instance can dispatch. */
  async start(): Promise<void> {
    const { zones, entriesPerZone, serversPerZone, template } = this.#options;
    const [keyValue, list] = await Promise.all([
      this.#startStandIn("key-value"),
      this.#startStandIn("instance-list"),
    ]);
    this.keyValueUrl = urlOf(keyValue);
    this.instanceListUrl = urlOf(list);
    await this.applyTemplate(template);
    const servers = zones.flatMap((zone) =>
      Array.from({ length: serversPerZone }, (_, n) => this.#startServer(zone, `${zone}-${n + 1}`)),
    );
    this.servers.push(...(await Promise.all(servers)));
    const entries = zones.flatMap((zone) =>
      Array.from({ length: entriesPerZone }, () => this.startEntry(zone)),
    );
    await Promise.all(entries);
    await waitFor("every server dispatchable", () => this.#allDispatchable());
  }

  async applyTemplate(template: string): Promise<void> {
    const file = this.#writeFile("template.ini", template);
    await this.run(["config", "apply", file, "--key-value", this.keyValueUrl, "--wait", "0"]);
  }

  /** Issues a key for a team. */
  async issueKey(team: string): Promise<string> {
    const args = ["key", "give", team, "--key-value", this.keyValueUrl, "--json"];
    const output = await this.run(args);
    return (JSON.parse(output) as { readonly key: string }).key;
  }

  async startEntry(zone: string): Promise<EntryProcessHandle> {
    const [callers, admin, peers] = await Promise.all([freePort(), freePort(), freePort()]);
    const settings = [
      "[entry]",
      `zone = ${zone}`,
      "group = g",
      `caller_address = 127.0.0.1:${callers}`,
      `admin_address = 127.0.0.1:${admin}`,
      `peer_address = 127.0.0.1:${peers}`,
      `key_value_url = ${this.keyValueUrl}`,
      `instance_list_url = ${this.instanceListUrl}`,
    ].join("\n");
    const file = this.#writeFile(`entry-${callers}.ini`, settings);
    const program = this.#spawn(["entry", "--config", file, "--log-level", "warn"]);
    const entry: EntryProcessHandle = {
      ...program,
      zone,
      callerUrl: `http://127.0.0.1:${callers}`,
      adminUrl: `http://127.0.0.1:${admin}`,
    };
    this.entries.push(entry);
    await waitFor(
      "entry ready",
      async () => (await tryGet(`${entry.adminUrl}/readyz`))?.status === 200,
    );
    return entry;
  }

  /** Switches faults of the key-value service on or off. */
  async setKeyValueFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    await fetch(`${this.keyValueUrl}/faults`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(faults),
    });
  }

  /** Attempts that the backend servers started, each as `id#attempt`. */
  startedAttempts(): readonly string[] {
    return this.taskEvents().flatMap(({ event, requestId, attempt }) =>
      event === "start" ? [`${requestId}#${attempt}`] : [],
    );
  }

  /** Task events printed by all backend servers, including replaced ones. */
  taskEvents(): readonly TaskEvent[] {
    return this.servers.flatMap(({ lines }) =>
      lines.flatMap((line) => (line.event === undefined ? [] : [line as unknown as TaskEvent])),
    );
  }

  /** Kills the process of a backend server and starts a new one with the same name. */
  async replaceServer(server: ServerProgram): Promise<void> {
    const { name, zone } = server;
    const closed = once(server.child, "close");
    server.child.kill("SIGKILL");
    await closed;
    server.lines.push(...endEventsOfKilled(server.lines));
    // The former process keeps its position and events, so the new one is appended.
    this.servers.push(await this.#startServer(zone, name));
    this.#replaced.add(server);
  }

  /** Backend servers whose process has not been replaced. */
  get liveServers(): readonly ServerProgram[] {
    return this.servers.filter((server) => !this.#replaced.has(server));
  }

  /** Runs a command until it exits and returns its output; throws if it fails. */
  async run(args: readonly string[]): Promise<string> {
    const program = this.#spawn(args);
    await once(program.child, "close");
    if (program.child.exitCode !== 0) {
      throw new Error(`${args.join(" ")}: ${program.errors.join("\n")}`);
    }
    return program.lines
      .map((line) => (typeof line.raw === "string" ? line.raw : JSON.stringify(line)))
      .join("\n");
  }

  /** Ends every process that this cluster started. */
  async stop(): Promise<void> {
    const running = this.#programs.filter(
      ({ child }) => child.exitCode === null && child.signalCode === null,
    );
    await Promise.all(
      running.map(async ({ child }) => {
        const closed = once(child, "close");
        child.kill("SIGKILL");
        await closed;
      }),
    );
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Current incarnation of an entry instance. */
  async incarnationOf(entry: EntryProcessHandle): Promise<string> {
    return (await this.#readStatus(entry))?.incarnation ?? "";
  }

  /** Incarnations of the peers that an entry instance is connected to. */
  async peersOf(entry: EntryProcessHandle): Promise<readonly string[]> {
    return (await this.#readStatus(entry))?.peers ?? [];
  }

  /** State of a member in the stored slot ownership document; undefined if it is not listed. */
  async memberState(incarnation: string): Promise<string | undefined> {
    const res = await tryGet(`${this.keyValueUrl}/v1/keys/homes`);
    const { value } = (await res?.json()) as { readonly value: string };
    const { members } = JSON.parse(value) as SlotOwnershipMembers;
    return members.find((member) => member.incarnation === incarnation)?.state;
  }

  async #readStatus(entry: EntryProcessHandle): Promise<StatusReply | undefined> {
    return (await (await tryGet(`${entry.adminUrl}/status`))?.json()) as StatusReply | undefined;
  }

  async #allDispatchable(): Promise<boolean> {
    const { zones, serversPerZone } = this.#options;
    let count = 0;
    for (const entry of this.entries) {
      const status = await this.#readStatus(entry);
      count += status?.held?.filter((server) => server.dispatchable).length ?? 0;
    }
    return count >= zones.length * serversPerZone;
  }

  async #startServer(zone: string, name: string): Promise<ServerProgram> {
    const { slots } = this.#options;
    const place = ["--name", name, "--zone", zone, "--rack", `${zone}-rack`];
    const rest = ["--slots", String(slots), "--register", this.instanceListUrl];
    return { ...(await this.#startStandIn("backend-server", [...place, ...rest])), name, zone };
  }

  async #startStandIn(kind: string, args: readonly string[] = []): Promise<Program> {
    const program = this.#spawn(["stand-in", kind, "--listen", "127.0.0.1:0", ...args]);
    await waitFor(`${kind} ready`, () => program.lines.some((line) => line.ready === true));
    return program;
  }

  #spawn(args: readonly string[]): Program {
    const [command = "", ...first] = this.#options.command ?? SOURCE_COMMAND;
    const child = spawn(command, [...first, ...args], { stdio: ["ignore", "pipe", "pipe"] });
    const program: Program = { child, lines: [], errors: [] };
    createInterface({ input: child.stdout }).on("line", (line) => {
      program.lines.push(parseLine(line));
    });
    createInterface({ input: child.stderr }).on("line", (line) => {
      program.errors.push(line);
    });
    this.#programs.push(program);
    return program;
  }

  #writeFile(name: string, text: string): string {
    const path = join(this.folder, name);
    writeFileSync(path, text);
    return path;
  }
}

/** Waits until a condition holds; throws after 30 seconds. */
export async function waitFor(
  what: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const end = Date.now() + WAIT_TIMEOUT_MS;
  while (!(await condition())) {
    if (Date.now() > end)
      throw new Error(`condition not met within ${WAIT_TIMEOUT_MS} ms: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

async function tryGet(url: string): Promise<Response | undefined> {
  try {
    return await fetch(url, { signal: AbortSignal.timeout(2000) });
  } catch {
    return undefined;
  }
}

async function freePort(): Promise<number> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}

/** End events of the tasks that were running when their server was killed. */
function endEventsOfKilled(
  lines: readonly Record<string, unknown>[],
): readonly Record<string, unknown>[] {
  const running = new Map<string, Record<string, unknown>>();
  for (const line of lines) {
    const key = `${String(line.requestId)}#${String(line.attempt)}`;
    if (line.event === "start") running.set(key, line);
    else running.delete(key);
  }
  const at = performance.timeOrigin + performance.now();
  return [...running.values()].map((line) => ({ ...line, event: "end", at }));
}

function parseLine(line: string): Record<string, unknown> {
  try {
    return JSON.parse(line) as Record<string, unknown>;
  } catch {
    return { raw: line };
  }
}

function urlOf(program: Program): string {
  const line = program.lines.find((each) => typeof each.address === "string");
  const address = String(line?.address);
  return address.startsWith("http") ? address : `http://${address}`;
}
