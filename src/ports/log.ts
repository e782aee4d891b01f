import type { Logger } from "pino";

/** The subset of the `pino` logger that the program uses. */
export type Log = Pick<Logger, "debug" | "info" | "warn" | "error">;
