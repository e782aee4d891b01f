import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  decodeBody,
  encodeFrame,
  FrameSplitter,
  MAX_FRAME_BYTES,
} from "../../src/transport/frames.ts";

const frame = (value: unknown): Buffer => encodeFrame(value).unwrap();

// Guards against frames that are lost, merged or repeated when TCP splits the stream differently.
test("a stream yields the same frames for any chunk size", () => {
  const values = [{ a: 1 }, { b: "x".repeat(300) }, { c: [1, 2, 3] }];
  const stream = Buffer.concat(values.map(frame));
  for (const size of [1, 2, 3, 5, 7, 64, 300, stream.length]) {
    const splitter = new FrameSplitter();
    const decoded: unknown[] = [];
    for (let offset = 0; offset < stream.length; offset += size) {
      const bodies = splitter.push(stream.subarray(offset, offset + size)).unwrap();
      decoded.push(...bodies.map((body) => decodeBody(body).unwrap()));
    }
    assert.equal(decoded, values, `chunks of ${size} bytes`);
  }
});

// Guards against a peer that causes unbounded buffering.
test("a declared length above the limit is refused before the body arrives", () => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(MAX_FRAME_BYTES + 1);
  assert.is(new FrameSplitter().push(header).val, "frame_oversized");
  assert.is(encodeFrame({ x: Buffer.alloc(MAX_FRAME_BYTES) }).val, "frame_oversized");
});

// Guards against an uncaught decoder error, and against a huge allocation for a declared element
// count.
test("bytes that are not one CBOR item are refused", () => {
  for (const bytes of [[0xff], [0xa1, 0x61], [0x00, 0x00], [0x9a, 0x7f, 0, 0, 0]]) {
    assert.is(decodeBody(Uint8Array.from(bytes)).val, "frame_not_cbor");
  }
  assert.is(new FrameSplitter().push(Buffer.alloc(4)).val, "frame_empty");
});

// Guards against field names or values changed by encoding, with and without a field number.
test("a value is unchanged after encoding and decoding", () => {
  const value = {
    kind: "call",
    callId: 4_000_000_000,
    unnumbered: { team: undefined, body: Buffer.from([0, 255]), configAgeMs: Infinity },
    teams: [{ team: "kind", running: -1, budget: 0.5 }],
    7: "a number as a name",
  };
  const body = frame(value).subarray(4);
  assert.equal(decodeBody(body).unwrap(), value);
});

test.run();
