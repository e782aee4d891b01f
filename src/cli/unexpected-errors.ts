import type { Log } from "../ports/log.ts";

/**
 * Keeps the process running after an error that no layer has handled, and logs it. What failed is
 * one call or one message; ending the process would end every other one with it, and a message that
 * is sent to the next instance would end that one too.
 */
export function surviveUnexpectedErrors(log: Log, count: (event: string) => void): void {
  const note = (err: unknown): void => {
    count("unexpected_error");
    log.error({ err }, "unexpected error");
  };
  process.on("unhandledRejection", note);
  process.on("uncaughtException", note);
}
