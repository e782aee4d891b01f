import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  decodeBody,
  encodeFrame,
  FrameSplitter,
  MAX_FRAME_BYTES,
} from "../../src/transport/frames.ts";

const frame = (value: unknown): Buffer => encodeFrame(value).unwrap();

// Guards against frames lost, merged or repeated when TCP divides the stream differently.
test("a stream gives the same frames however it is cut into chunks", () => {
  const values = [{ a: 1 }, { b: "x".repeat(300) }, { c: [1, 2, 3] }];
  const stream = Buffer.concat(values.map(frame));
  for (const size of [1, 2, 3, 5, 7, 64, 300, stream.length]) {
    const splitter = new FrameSplitter();
    const seen: unknown[] = [];
    for (let at = 0; at < stream.length; at += size) {
      const bodies = splitter.push(stream.subarray(at, at + size)).unwrap();
      seen.push(...bodies.map((body) => decodeBody(body).unwrap()));
    }
    assert.equal(seen, values, `chunks of ${size} bytes`);
  }
});

// Guards against a peer that makes this side buffer without bound.
test("a declared length above the limit is refused before the body arrives", () => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(MAX_FRAME_BYTES + 1);
  assert.is(new FrameSplitter().push(header).val, "frame_oversized");
  assert.is(encodeFrame({ x: Buffer.alloc(MAX_FRAME_BYTES) }).val, "frame_oversized");
});

// Guards against a thrown decoder error, or a huge allocation for a declared element count.
test("bytes that are not one CBOR item are refused", () => {
  for (const bytes of [[0xff], [0xa1, 0x61], [0x00, 0x00], [0x9a, 0x7f, 0, 0, 0]]) {
    assert.is(decodeBody(Uint8Array.from(bytes)).val, "frame_not_cbor");
  }
  assert.is(new FrameSplitter().push(Buffer.alloc(4)).val, "frame_empty");
});

// Guards against names or values that change on the way, with and without a field number.
test("a value comes back unchanged", () => {
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
