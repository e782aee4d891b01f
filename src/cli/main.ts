#!/usr/bin/env node
import sade from "sade";
import { SystemClock } from "../ports/system-clock.ts";
import { SystemRandom } from "../ports/system-random.ts";
import { HttpEntryStatusReader } from "../transport/admin-client.ts";
import { HttpInstanceList } from "../transport/http-instance-list.ts";
import { HttpKeyValueService } from "../transport/http-key-value.ts";
import { findUsageProblem } from "./command-line.ts";
import { addPlatformCommand } from "../../platform/command.ts";
import { addWhereCommand } from "../../platform/where-command.ts";
import { addConfigCommands } from "./config-commands.ts";
import { addDevCommand } from "./dev-command.ts";
import { addEntryCommand } from "./entry-command.ts";
import { addExplainCommand } from "./explain-command.ts";
import { addKeyCommands } from "./key-commands.ts";
import { addStandInCommands } from "./stand-in-commands.ts";
import { addStatusCommands } from "./status-commands.ts";
import { SystemContext } from "./system-context.ts";
import { VERSION } from "./version.ts";

const clock = new SystemClock();
const ctx = new SystemContext({
  clock,
  random: new SystemRandom(),
  statusReader: new HttpEntryStatusReader(),
  keyValue: (url) => new HttpKeyValueService({ clock, url, counter: { event: () => undefined } }),
  instanceList: (url) => new HttpInstanceList({ clock, url }),
});

const program = sade("teaselspool");
program.version(VERSION);
addEntryCommand(program, ctx);
addConfigCommands(program, ctx);
addKeyCommands(program, ctx);
addStatusCommands(program, ctx);
addDevCommand(program, ctx);
addStandInCommands(program);
addPlatformCommand(program, ctx);
addExplainCommand(program, ctx);
addWhereCommand(program, ctx);
const problem = findUsageProblem(program, process.argv.slice(2));
if (problem === undefined) program.parse(process.argv);
else {
  ctx.printError(problem);
  ctx.exit(2);
}
