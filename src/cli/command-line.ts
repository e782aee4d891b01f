import type { Sade } from "sade";
import { nearestName } from "../settings/problem.ts";

/** The part of `sade` that names its commands; not in its types. */
interface CommandTree {
  readonly tree: Readonly<Record<string, { readonly usage?: string }>>;
}

/** Options that print something and end, whatever else is given. */
const INFORMATION = ["-h", "--help", "-v", "--version"];

/**
 * Finds what is wrong with a command line before `sade` parses it, since `sade` itself ends the
 * process with code 1. Undefined if a command and its arguments are there. `args` are the words
 * after the program's name.
 */
export function findUsageFault(program: Sade, args: readonly string[]): string | undefined {
  if (args.some((arg) => INFORMATION.includes(arg))) return undefined;
  const { tree } = program as unknown as CommandTree;
  const commands = Object.keys(tree).filter((name) => !name.startsWith("__"));
  const words = positionalWords(args);
  const command = commands
    .filter((name) => words.slice(0, wordCount(name)).join(" ") === name)
    .sort((a, b) => wordCount(b) - wordCount(a))[0];
  if (command === undefined) return unknownCommand(words, commands);
  const usage = tree[command]?.usage ?? "";
  const required = usage.split(/\s+/).filter((part) => part.startsWith("<")).length;
  if (words.length - wordCount(command) >= required) return undefined;
  return `${command}: missing argument; allowed: ${usage}`;
}

/** Words that are neither options nor their values, as `sade` counts them. */
function positionalWords(args: readonly string[]): readonly string[] {
  return args.filter((arg, index) => {
    const before = args[index - 1];
    const isValue = before !== undefined && /^-[^=]+$/.test(before);
    return !arg.startsWith("-") && !isValue;
  });
}

function wordCount(name: string): number {
  return name.split(" ").length;
}

function unknownCommand(words: readonly string[], commands: readonly string[]): string {
  if (words.length === 0) return `no command; allowed: ${commands.join(", ")}`;
  const given = words.slice(0, 2).join(" ");
  const nearest = nearestName(given, commands) ?? nearestName(words[0] ?? "", commands);
  const hint =
    nearest === undefined ? `allowed: ${commands.join(", ")}` : `did you mean "${nearest}"?`;
  return `unknown command "${given}"; ${hint}`;
}
