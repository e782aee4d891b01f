import type { EntryFactory } from "./entry-under-test.ts";

/** Builds the product's entry instance. */
export const entryFactory: EntryFactory = () => {
  throw new Error("the entry instance is not wired yet");
};
