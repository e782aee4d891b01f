import { connect as connectTcp, createServer, type AddressInfo, type Socket } from "node:net";
import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import type { Clock } from "../ports/clock.ts";
import type { Log } from "../ports/log.ts";
import {
  PeerTransport,
  type PeerConnection,
  type PeerError,
  type PeerHandler,
} from "../ports/peer-transport.ts";
import { PEER_PROTOCOL_VERSION, type Hello } from "../protocol/peer-messages.ts";
import { HelloSchema } from "../protocol/peer-schemas.ts";
import { encodeFrame } from "./frames.ts";
import { FrameSocket, type EventCounter } from "./frame-socket.ts";
import { formatIpAddress, parseIpAddress } from "./ip-address.ts";
import { TcpPeerConnection } from "./peer-client.ts";
import { PeerServer } from "./peer-server.ts";

/** Options of {@link TcpPeerTransport}. */
export interface TcpPeerTransportOptions {
  readonly clock: Clock;
  readonly counter: EventCounter;
  readonly log: Pick<Log, "error">;
  /** Timeout for connecting and receiving the hello, in milliseconds. @default 2000 */
  readonly connectTimeoutMs?: number;
}

/** Peer transport over TCP with framed messages, see section 10.4 of docs/design.md. */
export class TcpPeerTransport extends PeerTransport {
  readonly #options: Required<TcpPeerTransportOptions>;
  readonly #server = createServer();
  readonly #sockets = new Set<Socket>();

  constructor({ connectTimeoutMs = 2000, ...rest }: TcpPeerTransportOptions) {
    super();
    this.#options = { connectTimeoutMs, ...rest };
  }

  /** Listening address as `IP:PORT`. Has the actual port if port 0 was requested. */
  get address(): string | undefined {
    const bound = this.#server.address() as AddressInfo | null;
    return bound === null ? undefined : formatIpAddress({ host: bound.address, port: bound.port });
  }

  async listen(self: Hello, handler: PeerHandler): Promise<Result<void, string>> {
    const address = parseIpAddress(self.address);
    if (address.err) return address;
    // A new incarnation listens again. The listener of the previous one must not respond as well.
    this.#server.removeAllListeners("connection");
    this.#server.on("connection", (socket) => {
      void this.#serve(socket, self, handler);
    });
    return new Promise((resolve) => {
      this.#server.once("error", (err) => {
        resolve(Err(`cannot listen on ${self.address}: ${err.message}`));
      });
      this.#server.listen(address.val, () => {
        resolve(Ok(undefined));
      });
    });
  }

  async connect(address: string, self: Hello): Promise<Result<PeerConnection, PeerError>> {
    const target = parseIpAddress(address);
    if (target.err) return Err({ kind: "not-sent", detail: target.val });
    const { clock, counter } = this.#options;
    const socket = connectTcp(target.val);
    const frameSocket = this.#createFrameSocket(socket);
    const opened = await this.#handshake(socket, frameSocket, self);
    if (opened.err) return Err({ kind: "not-sent", detail: opened.val });
    const { remote, frames } = opened.val;
    const connection = new TcpPeerConnection({ clock, counter, socket: frameSocket, remote });
    void connection.run(frames);
    return Ok(connection);
  }

  close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    if (!this.#server.listening) return Promise.resolve();
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  async #serve(socket: Socket, self: Hello, handler: PeerHandler): Promise<void> {
    const { counter, log } = this.#options;
    const frameSocket = this.#createFrameSocket(socket);
    const opened = await this.#handshake(socket, frameSocket, self);
    if (opened.err) return;
    const { remote, frames } = opened.val;
    await new PeerServer({ counter, log, socket: frameSocket, remote, handler }).run(frames);
  }

  #createFrameSocket(socket: Socket): FrameSocket {
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    return new FrameSocket(socket, this.#options.counter);
  }

  /** Sends the own hello and waits for the remote one. Used by both the client and the server. */
  async #handshake(
    socket: Socket,
    frameSocket: FrameSocket,
    self: Hello,
  ): Promise<Result<OpenedConnection, string>> {
    const { clock, connectTimeoutMs } = this.#options;
    const timer = clock.schedule(connectTimeoutMs, () => {
      frameSocket.fail("hello_timeout");
    });
    const hello = encodeFrame({ kind: "hello", hello: self });
    if (hello.ok) frameSocket.send(hello.val);
    const frames = frameSocket.frames();
    const firstFrame = await frames.next();
    timer.cancel();
    if (firstFrame.done === true) return Err(socket.errored?.message ?? "closed before the hello");
    const remote = parseHello(firstFrame.value);
    if (remote.err) {
      frameSocket.fail(remote.val);
      return remote;
    }
    return Ok({ remote: remote.val, frames });
  }
}

interface OpenedConnection {
  readonly remote: Hello;
  readonly frames: AsyncGenerator<unknown, void>;
}

const HelloEnvelopeSchema = v.strictObject({ kind: v.literal("hello"), hello: v.unknown() });
const VersionSchema = v.object({ version: v.number() });

/** Checks the version first, because the fields of a hello may differ between versions. */
function parseHello(frame: unknown): Result<Hello, "hello_malformed" | "version_mismatch"> {
  const parsed = v.safeParse(HelloEnvelopeSchema, frame);
  if (!parsed.success || !v.is(VersionSchema, parsed.output.hello)) return Err("hello_malformed");
  if (parsed.output.hello.version !== PEER_PROTOCOL_VERSION) return Err("version_mismatch");
  const hello = v.safeParse(HelloSchema, parsed.output.hello);
  return hello.success ? Ok(hello.output) : Err("hello_malformed");
}
