import type { Sade } from "sade";
import { nearestName } from "../settings/settings-problem.ts";

/** The commands registered in `sade`, which its type declarations leave out. */
interface CommandTree {
  readonly tree: Readonly<Record<string, { readonly usage?: string }>>;
}

/** Options that print information and exit, whatever other arguments are given. */
const INFORMATION_OPTIONS = ["-h", "--help", "-v", "--version"];

/**
 * Returns what is wrong with a command line; undefined if it names a command and has its required
 * arguments. Called before `sade` parses the command line, because `sade` would end the process with
 * exit code 1. `args` are the words after the program's name.
 */
export function findUsageProblem(program: Sade, args: readonly string[]): string | undefined {
  if (args.some((arg) => INFORMATION_OPTIONS.includes(arg))) return undefined;
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

/** Words that are neither options nor option values, by the rules of `sade`. */
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
