import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { SeededRandom } from "./seeded-random.ts";

/** A TCP proxy on loopback that cuts connections at random chunks in either direction. */
export class CuttingProxy {
  readonly #random: SeededRandom;
  readonly #sockets = new Set<Socket>();
  readonly #server = createServer((client) => {
    this.#accept(client);
  });
  readonly #targetPort: number;
  readonly #cutChance: number;
  /** Number of connections cut so far. */
  cuts = 0;

  constructor(targetPort: number, seed: number, cutChance: number) {
    this.#targetPort = targetPort;
    this.#random = new SeededRandom(seed);
    this.#cutChance = cutChance;
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(client: Socket): void {
    const target = connect(this.#targetPort, "127.0.0.1");
    this.#relay(client, target);
    this.#relay(target, client);
  }

  #relay(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.on("error", () => undefined);
    from.on("close", () => {
      this.#sockets.delete(from);
      to.destroy();
    });
    from.on("data", (chunk: Buffer) => {
      if (this.#random.next() >= this.#cutChance) {
        to.write(chunk);
        return;
      }
      this.cuts++;
      // The last chunk may still arrive, in full or in part.
      to.end(chunk.subarray(0, Math.floor(this.#random.next() * (chunk.length + 1))));
      from.destroy();
    });
  }
}
