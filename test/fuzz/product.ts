/** The product under test. */
import { EntryInstance } from "../../src/coordination/entry-instance.ts";
import type { EntryFactory } from "./entry-under-test.ts";

/** Builds the product's entry instance. */
export const entryFactory: EntryFactory = (parts) => new EntryInstance(parts);
