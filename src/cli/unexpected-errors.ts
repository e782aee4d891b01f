import type { Log } from "../ports/log.ts";

/**
 * Logs errors that no layer has handled and keeps the process running. Such an error concerns one call
 * or message; ending the process would fail all others too, and a message that is then sent to the
 * next instance would end that process as well. Returns a function that removes the handlers.
 */
export function handleUnexpectedErrors(log: Log, count: (event: string) => void): () => void {
  const reportError = (err: unknown): void => {
    count("unexpected_error");
    log.error({ err }, "unexpected error");
  };
  process.on("unhandledRejection", reportError);
  process.on("uncaughtException", reportError);
  return () => {
    process.off("unhandledRejection", reportError);
    process.off("uncaughtException", reportError);
  };
}
