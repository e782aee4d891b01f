/** Free ports on the loopback address. */
import { once } from "node:events";
import { createServer, type AddressInfo } from "node:net";

export async function freePort(): Promise<number> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}

/** A free port whose successor is free too. */
export async function freePortPair(): Promise<number> {
  for (;;) {
    const first = await freePort();
    const next = createServer();
    const free = await new Promise<boolean>((resolve) => {
      next.once("error", () => {
        resolve(false);
      });
      next.listen(first + 1, "127.0.0.1", () => {
        next.close(() => {
          resolve(true);
        });
      });
    });
    if (free) return first;
  }
}
