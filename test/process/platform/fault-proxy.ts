import { connect, createServer, type AddressInfo, type Socket } from "node:net";

/** How a {@link FaultProxy} treats the bytes of its connections. */
export type ProxyMode =
  /** Forwards all bytes at once. */
  | "open"
  /** Drops bytes in both directions; connections stay open. */
  | "silent"
  /** Forwards only bytes from the client. */
  | "one-way"
  /** Delays all bytes. */
  | "slow";

const SLOW_DELAY_MS = 250;

/** TCP proxy on loopback that can drop or delay the bytes of connections and reset them. */
export class FaultProxy {
  mode: ProxyMode = "open";
  readonly #target: string;
  readonly #pairs = new Set<readonly [Socket, Socket]>();
  readonly #server = createServer((client) => {
    this.#connectTarget(client);
  });

  constructor(target: string) {
    this.#target = target;
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Resets every open connection. */
  reset(): void {
    for (const pair of this.#pairs) for (const socket of pair) socket.resetAndDestroy();
  }

  close(): void {
    this.#server.close();
    this.reset();
  }

  #connectTarget(client: Socket): void {
    const [host = "", port] = this.#target.split(":");
    const target = connect(Number(port), host);
    const pair = [client, target] as const;
    this.#pairs.add(pair);
    this.#relay(client, target, () => this.mode !== "silent");
    this.#relay(target, client, () => this.mode !== "silent" && this.mode !== "one-way");
    client.on("close", () => this.#pairs.delete(pair));
  }

  /** Bytes that are not forwarded are lost, so the connection cannot be used afterwards. */
  #relay(from: Socket, to: Socket, isForwarded: () => boolean): void {
    from.on("error", () => to.destroy());
    from.on("close", () => to.destroy());
    from.on("data", (chunk: Buffer) => {
      if (!isForwarded()) return;
      if (this.mode === "slow") setTimeout(() => to.write(chunk), SLOW_DELAY_MS);
      else to.write(chunk);
    });
  }
}
