import type { Logger } from "pino";

/** The part of `pino` that the product uses. */
export type Log = Pick<Logger, "debug" | "info" | "warn" | "error">;
