/** CBOR that is checked by a schema when it is read. */
import { decode } from "cbor-x";
import * as v from "valibot";

/** Decodes bytes; undefined if they are no CBOR or do not match the schema. Never throws. */
export function decodeCbor<T>(
  schema: v.GenericSchema<unknown, T>,
  data: Uint8Array,
): T | undefined {
  try {
    const parsed = v.safeParse(schema, decode(data));
    return parsed.success ? parsed.output : undefined;
  } catch {
    // Bytes that are no CBOR; the reader says where they came from.
    return undefined;
  }
}
