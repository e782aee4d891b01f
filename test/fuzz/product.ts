import { EntryInstance } from "../../src/coordination/entry-instance.ts";
import type { EntryFactory } from "./entry-under-test.ts";

/** Builds the product's entry instance. */
export const productFactory: EntryFactory = (options) => new EntryInstance(options);
