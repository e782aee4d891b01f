import { test } from "uvu";
import * as assert from "uvu/assert";
import type * as v from "valibot";
import type { PeerRequest } from "../../src/protocol/peer-messages.ts";
import { PeerRequestSchema, REPLY_SCHEMAS } from "../../src/protocol/peer-schemas.ts";

type Mutable<T> = T extends Uint8Array ? T : { -readonly [K in keyof T]: Mutable<T[K]> };
type Accepts<Target, Source> = [Source] extends [Target] ? true : false;
type Checked = v.InferOutput<typeof PeerRequestSchema>;

// Guards against a message type that a peer may send but the receiver rejects, and vice versa.
// The constants fail to compile when the message types and the schemas differ.
test("schemas and message types match", () => {
  const accepted: readonly [Accepts<PeerRequest, Checked>, Accepts<Checked, Mutable<PeerRequest>>] =
    [true, true];
  assert.equal(accepted, [true, true]);
  assert.is(Object.keys(REPLY_SCHEMAS).length, PeerRequestSchema.options.length);
});

test.run();
