/** TCP proxy in front of one worker: its connections can be reset, or go silent for good. */
import { connect, createServer, type AddressInfo, type Socket } from "node:net";

export class WorkerProxy {
  readonly #target: string;
  /** Connections with whether their bytes are forwarded. */
  readonly #pairs = new Map<Socket, { readonly target: Socket; alive: boolean }>();
  readonly #server = createServer((client) => {
    this.#accept(client);
  });
  #dark = false;

  constructor(target: string) {
    this.#target = target;
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Resets all connections, as the end of the worker's process does. */
  reset(): void {
    for (const [client, { target }] of this.#pairs) {
      client.resetAndDestroy();
      target.resetAndDestroy();
    }
  }

  /** The worker has no power: nothing answers, on connections that are open and on new ones. */
  darken(): void {
    this.#dark = true;
    for (const pair of this.#pairs.values()) pair.alive = false;
  }

  /** The worker is back: new connections work. */
  lighten(): void {
    this.#dark = false;
  }

  close(): void {
    this.#server.close();
    this.reset();
  }

  #accept(client: Socket): void {
    const [host = "", port] = this.#target.split(":");
    const target = connect(Number(port), host);
    const pair = { target, alive: !this.#dark };
    this.#pairs.set(client, pair);
    const relay = (from: Socket, to: Socket): void => {
      from.on("error", () => to.destroy());
      from.on("close", () => to.destroy());
      from.on("data", (chunk: Buffer) => {
        if (pair.alive) to.write(chunk);
      });
    };
    relay(client, target);
    relay(target, client);
    client.on("close", () => this.#pairs.delete(client));
  }
}
