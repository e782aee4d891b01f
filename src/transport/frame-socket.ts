import { once } from "node:events";
import type { Socket } from "node:net";
import type { Counters } from "../coordination/ports.ts";
import { decodeBody, FrameSplitter } from "./frames.ts";

/** Idle time in milliseconds before the operating system sends TCP keep-alive probes. */
const KEEP_ALIVE_MS = 10_000;

/** The part of `Counters` that the transport uses. */
export type EventCounter = Pick<Counters, "event">;

/** A frame passed to {@link FrameSocket.send}. */
export interface OutgoingFrame {
  /** True once the frame was written to the socket, so that the peer may receive it. */
  readonly written: boolean;
  /** Resolves to {@link OutgoingFrame.written} once the frame was written or discarded. */
  readonly done: Promise<boolean>;
  /** Discards the frame unless it was already written. */
  cancel(): void;
}

/** One TCP connection that carries frames in both directions. */
export class FrameSocket {
  readonly #socket: Socket;
  readonly #counter: EventCounter;
  readonly #queue = new Set<QueuedFrame>();
  #flushing = false;

  constructor(socket: Socket, counter: EventCounter) {
    this.#socket = socket;
    this.#counter = counter;
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_MS);
    socket.on("close", () => {
      for (const frame of this.#queue) frame.settle(false);
      this.#queue.clear();
    });
    // The read loop handles errors; an "error" event without a listener would end the process.
    socket.on("error", () => undefined);
  }

  get open(): boolean {
    return !this.#socket.destroyed && this.#socket.writable;
  }

  /** Queues a frame behind the frames that are not written yet. */
  send(bytes: Buffer): OutgoingFrame {
    const frame = new QueuedFrame(bytes, () => this.#queue.delete(frame));
    if (!this.open) {
      frame.settle(false);
      return frame;
    }
    this.#queue.add(frame);
    if (!this.#flushing) void this.#flush();
    return frame;
  }

  /** Yields decoded frames until the connection ends. Counts a malformed frame and disconnects. */
  async *frames(): AsyncGenerator<unknown, void> {
    const splitter = new FrameSplitter();
    try {
      for await (const chunk of this.#socket as AsyncIterable<Buffer>) {
        const bodies = splitter.push(chunk);
        if (bodies.err) {
          this.fail(bodies.val);
          return;
        }
        for (const body of bodies.val) {
          const value = decodeBody(body);
          if (value.err) {
            this.fail(value.val);
            return;
          }
          yield value.val;
        }
      }
    } catch {
      this.#counter.event("peer_connection_lost");
    }
  }

  /** Closes the connection after a fault of the remote peer, counted as `peer_<reason>`. */
  fail(reason: string): void {
    if (!this.#socket.destroyed) this.#counter.event(`peer_${reason}`);
    this.#socket.destroy();
  }

  /** Closes the connection after all written data was sent. */
  close(): void {
    this.#socket.destroySoon();
  }

  async #flush(): Promise<void> {
    this.#flushing = true;
    // Frames queued in the same event loop tick are sent in one system call.
    await Promise.resolve();
    while (this.#queue.size > 0 && this.open) {
      if (this.#socket.writableNeedDrain) {
        await drainOrClose(this.#socket);
        continue;
      }
      this.#writeQueued();
    }
    this.#flushing = false;
  }

  #writeQueued(): void {
    this.#socket.cork();
    for (const frame of this.#queue) {
      if (this.#socket.writableNeedDrain) break;
      this.#queue.delete(frame);
      this.#socket.write(frame.bytes);
      frame.settle(true);
    }
    this.#socket.uncork();
  }
}

class QueuedFrame implements OutgoingFrame {
  readonly bytes: Buffer;
  readonly done: Promise<boolean>;
  readonly #dequeue: () => void;
  #written = false;
  #resolve: (written: boolean) => void = () => undefined;

  constructor(bytes: Buffer, dequeue: () => void) {
    this.bytes = bytes;
    this.#dequeue = dequeue;
    this.done = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  get written(): boolean {
    return this.#written;
  }

  settle(written: boolean): void {
    this.#written = written;
    this.#resolve(written);
  }

  cancel(): void {
    if (this.#written) return;
    this.#dequeue();
    this.#resolve(false);
  }
}

async function drainOrClose(socket: Socket): Promise<void> {
  const abort = new AbortController();
  const { signal } = abort;
  try {
    await Promise.race([once(socket, "drain", { signal }), once(socket, "close", { signal })]);
  } catch {
    // Socket error: the "close" event that follows settles the queued frames.
  } finally {
    abort.abort();
  }
}
