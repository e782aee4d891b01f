import { Encoder, setSizeLimits } from "cbor-x";
import { Err, Ok, type Result } from "ts-results";
import { PEER_FIELD_NUMBERS } from "../protocol/peer-field-numbers.ts";

/** Largest frame body in bytes. */
export const MAX_FRAME_BYTES = 1024 * 1024;

const LENGTH_BYTES = 4;

// The decoder allocates a declared length before it reads the elements, so the length is limited.
// A frame cannot contain more elements than bytes.
setSizeLimits({
  maxArraySize: MAX_FRAME_BYTES,
  maxMapSize: MAX_FRAME_BYTES,
  maxObjectSize: MAX_FRAME_BYTES,
});

const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
  // A body is stored as long as its request; a view would keep the whole frame in memory.
  copyBuffers: true,
  // Encodes field names as numbers. They would take more than half of a gossip message with many
  // teams.
  keyMap: PEER_FIELD_NUMBERS,
});

/** Why bytes are not a valid frame. Received ones are counted as `peer_<error>`. */
export type FrameError = "frame_oversized" | "frame_empty" | "frame_not_cbor";

/** Encodes a value as CBOR, prefixed with its length. */
export function encodeFrame(value: unknown): Result<Buffer, FrameError> {
  const body = codec.encode(value);
  if (body.length > MAX_FRAME_BYTES) return Err("frame_oversized");
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.set(body, LENGTH_BYTES);
  return Ok(frame);
}

/** Decodes the CBOR body of a frame. */
export function decodeBody(body: Uint8Array): Result<unknown, FrameError> {
  try {
    return Ok(codec.decode(body) as unknown);
  } catch {
    return Err("frame_not_cbor");
  }
}

/** Splits a byte stream into frame bodies, independent of the chunk boundaries. */
export class FrameSplitter {
  #chunks: Buffer[] = [];
  #buffered = 0;
  /** Bytes needed to continue: the length prefix, or the whole frame once its length is known. */
  #needed = LENGTH_BYTES;

  /** Adds a chunk and returns the completed frame bodies. Must not be called after an error. */
  push(chunk: Buffer): Result<readonly Buffer[], FrameError> {
    this.#chunks.push(chunk);
    this.#buffered += chunk.length;
    if (this.#buffered < this.#needed) return Ok([]);
    const data = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks, this.#buffered);
    const bodies: Buffer[] = [];
    let start = 0;
    for (;;) {
      const left = data.length - start;
      this.#needed = LENGTH_BYTES;
      if (left < LENGTH_BYTES) break;
      const length = data.readUInt32BE(start);
      if (length > MAX_FRAME_BYTES) return Err("frame_oversized");
      if (length === 0) return Err("frame_empty");
      this.#needed = LENGTH_BYTES + length;
      if (left < this.#needed) break;
      bodies.push(data.subarray(start + LENGTH_BYTES, start + this.#needed));
      start += this.#needed;
    }
    this.#chunks = start === data.length ? [] : [data.subarray(start)];
    this.#buffered = data.length - start;
    return Ok(bodies);
  }
}
