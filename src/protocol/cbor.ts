/** Decoding of CBOR with schema validation. */
import { decode } from "cbor-x";
import * as v from "valibot";

/** Decodes bytes; undefined if they are not valid CBOR or do not match the schema. Never throws. */
export function decodeCbor<T>(
  schema: v.GenericSchema<unknown, T>,
  data: Uint8Array,
): T | undefined {
  try {
    const parsed = v.safeParse(schema, decode(data));
    return parsed.success ? parsed.output : undefined;
  } catch {
    // The bytes are not valid CBOR. The caller reports it, since it knows their source.
    return undefined;
  }
}
