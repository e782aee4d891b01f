import type { Sade } from "sade";
import { CONFIG_KEY, type ConfigDocument } from "../protocol/config-document.ts";
import { ENTRY_DEFAULTS, type EntrySettings } from "../settings/entry-settings.ts";
import { formatProblem } from "../settings/settings-problem.ts";
import type { TemplateContent } from "../settings/template-content.ts";
import { readTemplate } from "../settings/template-file.ts";
import { hashKey } from "../state/api-keys.ts";
import type { CliContext, CliOptions, ExitCode } from "./context.ts";
import { runCommand, textOption, UsageError } from "./context.ts";
import { DevPlatform } from "./dev-platform.ts";
import { EntryProcess, openLog, stopOnSignal } from "./entry-process.ts";

const EXIT_INVALID_INPUT = 2;
const DEFAULT_TEMPLATE = "examples/piedra-viva.ini";
/** Public example key; it is stored only in the memory of this process. */
const DEV_KEY = "dev-key-piedra";
const CALLER_PORT = 8080;
const ADMIN_PORT = 9090;
const PEER_PORT = 7070;
const ZONE_COUNT = 3;

/** Adds the `dev` command. */
export function addDevCommand(program: Sade, ctx: CliContext): void {
  program
    .command("dev")
    .describe(
      "Run entry instances and in-memory stand-ins for the platform in one process, to try them out.",
    )
    .option("--template", `Template to run (default ${DEFAULT_TEMPLATE})`)
    .action((options: CliOptions) =>
      runCommand(ctx, options, ["template"], () => run(ctx, options)),
    );
}

async function run(ctx: CliContext, options: CliOptions): Promise<ExitCode> {
  const content = loadTemplate(ctx, textOption(options, "template"));
  const group = content.pools[0]?.group ?? "group";
  const zones = Array.from({ length: ZONE_COUNT }, (_, index) => `${group}-${index + 1}`);
  const servers = content.pools.reduce((sum, pool) => sum + pool.targetSize, 0);
  const platform = new DevPlatform({ clock: ctx.clock, zones, servers });
  await storeConfig(ctx, platform, content);
  const entries = zones.map((zone, index) =>
    openEntry(ctx, platform, devSettings(zone, group, index)),
  );
  try {
    for (const entry of entries) await entry.start();
  } catch (err) {
    // Entry instances that were started before the failure would keep the process running.
    ctx.printError(err instanceof Error ? err.message : String(err));
    process.exit(EXIT_INVALID_INPUT);
  }
  stopOnSignal(async () => {
    await Promise.all(entries.map((entry) => entry.stop()));
  });
  await waitUntilServing(ctx);
  printExampleCalls(ctx, content);
  return 0;
}

function loadTemplate(ctx: CliContext, named: string | undefined): TemplateContent {
  const file = named ?? DEFAULT_TEMPLATE;
  const text = named === undefined ? defaultTemplate(ctx) : ctx.readFile(named);
  if (text === undefined) throw new UsageError(`${file}: the file cannot be read`);
  const read = readTemplate(file, text, new Map());
  if (read.err) throw new UsageError(read.val.map(formatProblem).join("\n"));
  return read.val;
}

/** The bundled program contains the example template, so that it runs in any folder. */
function defaultTemplate(ctx: CliContext): string | undefined {
  return typeof BUNDLED_TEMPLATE === "string" ? BUNDLED_TEMPLATE : ctx.readFile(DEFAULT_TEMPLATE);
}

/** Stores the template with the example key for its first team. */
async function storeConfig(
  { clock, random }: CliContext,
  { keyValue }: DevPlatform,
  content: TemplateContent,
): Promise<void> {
  const key = hashKey(DEV_KEY, random.hex(16));
  const [first, ...others] = content.teams;
  const teams = first === undefined ? [] : [{ ...first, keys: [key] }, ...others];
  const document: ConfigDocument = {
    ...content,
    teams,
    revision: 1,
    writeId: random.uuidV7(clock.wallTime()),
    acceptedAt: clock.wallTime(),
  };
  await keyValue.put({ key: CONFIG_KEY, value: JSON.stringify(document), expectedRevision: 0 });
}

function devSettings(zone: string, group: string, index: number): EntrySettings {
  return {
    ...ENTRY_DEFAULTS,
    zone,
    group,
    callerAddress: `127.0.0.1:${CALLER_PORT + index}`,
    adminAddress: `127.0.0.1:${ADMIN_PORT + index}`,
    peerAddress: `127.0.0.1:${PEER_PORT + index}`,
    keyValueUrl: "http://127.0.0.1",
    instanceListUrl: "http://127.0.0.1",
    shutdownTimeoutMs: 3000,
  };
}

function openEntry(ctx: CliContext, platform: DevPlatform, settings: EntrySettings): EntryProcess {
  const { clock, random } = ctx;
  const { keyValue, instanceList } = platform;
  return new EntryProcess({
    settings,
    clock,
    random,
    log: openLog("warn"),
    platform: () => ({ keyValue, instanceList, backends: platform }),
  });
}

/** Waits until an entry instance can dispatch to a backend server, for at most 5 seconds. */
async function waitUntilServing(ctx: CliContext): Promise<void> {
  const end = ctx.clock.now() + 5000;
  while (ctx.clock.now() < end) {
    const res = await fetch(`http://127.0.0.1:${ADMIN_PORT}/status`);
    const status = (await res.json()) as {
      readonly held?: readonly { readonly dispatchable: boolean }[];
    };
    if (status.held?.some((server) => server.dispatchable) === true) return;
    await ctx.clock.sleep(100);
  }
}

function printExampleCalls(ctx: CliContext, { queues, teams }: TemplateContent): void {
  const base = `http://127.0.0.1:${CALLER_PORT}`;
  const permitted = teams[0]?.queues ?? [];
  const keyed = queues.find(
    (queue) => !queue.open && (permitted.length === 0 || permitted.includes(queue.name)),
  );
  const open = queues.find((queue) => queue.open);
  ctx.print(
    `teaselspool is running. Callers: ${base}  Admin: http://127.0.0.1:${ADMIN_PORT}/status`,
  );
  if (keyed !== undefined) {
    ctx.print(
      `curl -i -H 'Authorization: Bearer ${DEV_KEY}' -d '{"runMs":50}' ${base}/v1/queues/${keyed.name}/requests`,
    );
  }
  if (open !== undefined) {
    ctx.print(`curl -i -d 'hello' ${base}/v1/queues/${open.name}/requests`);
  }
  ctx.print("Stop with Ctrl-C.");
}
