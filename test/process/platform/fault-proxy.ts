import { connect, createServer, type AddressInfo, type Socket } from "node:net";

/** What a {@link FaultProxy} does with the bytes of its connections. */
export type ProxyMode =
  | "open"
  /** Nothing passes in either direction; connections stay open. */
  | "silent"
  /** Only the bytes from the client pass. */
  | "one-way"
  | "slow";

const SLOW_MS = 250;

/** A TCP proxy on loopback whose connections can be silenced, cut one way, delayed and reset. */
export class FaultProxy {
  mode: ProxyMode = "open";
  readonly #target: string;
  readonly #pairs = new Set<readonly [Socket, Socket]>();
  readonly #server = createServer((client) => {
    this.#join(client);
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

  #join(client: Socket): void {
    const [host = "", port] = this.#target.split(":");
    const target = connect(Number(port), host);
    const pair = [client, target] as const;
    this.#pairs.add(pair);
    this.#relay(client, target, () => this.mode !== "silent");
    this.#relay(target, client, () => this.mode !== "silent" && this.mode !== "one-way");
    client.on("close", () => this.#pairs.delete(pair));
  }

  /** Bytes that do not pass are lost, as behind a partition; the connection is of no use then. */
  #relay(from: Socket, to: Socket, passes: () => boolean): void {
    from.on("error", () => to.destroy());
    from.on("close", () => to.destroy());
    from.on("data", (chunk: Buffer) => {
      if (!passes()) return;
      if (this.mode === "slow") setTimeout(() => to.write(chunk), SLOW_MS);
      else to.write(chunk);
    });
  }
}
