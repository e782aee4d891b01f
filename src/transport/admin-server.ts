import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka, { type Request } from "polka";

/** Data that the admin server exposes. */
export interface AdminSource {
  /** Reasons why this instance should receive no caller traffic; empty if it is ready. */
  readonly notReadyReasons: () => readonly string[];
  /** Status document, serialisable as JSON. */
  readonly status: () => unknown;
  /** Metrics in the Prometheus text format. */
  readonly metrics: () => Promise<string>;
}

/** HTTP server for health checks, metrics and operators. */
export class AdminServer {
  readonly #server: Server;

  constructor(source: AdminSource) {
    this.#server = createServer();
    const app = polka({
      onNoMatch: (_req, res) => {
        write(res, 404, "text/plain", "not found\n");
      },
    });
    app.get("/healthz", (_req, res) => {
      write(res, 200, "text/plain", "ok\n");
    });
    app.get("/readyz", (_req, res) => {
      const reasons = source.notReadyReasons();
      const ready = reasons.length === 0;
      write(res, ready ? 200 : 503, "application/json", JSON.stringify({ ready, reasons }));
    });
    app.get("/status", (_req, res) => {
      write(res, 200, "application/json", JSON.stringify(source.status()));
    });
    app.get("/metrics", (_req, res) => {
      source.metrics().then(
        (text) => {
          write(res, 200, "text/plain; version=0.0.4", text);
        },
        (err: unknown) => {
          write(res, 500, "text/plain", `${String(err)}\n`);
        },
      );
    });
    this.#server.on("request", (req, res: ServerResponse) => {
      app.handler(req as Request, res);
    });
  }

  /** Listens on an address and returns the port. Port 0 selects a free port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        this.#server.off("error", reject);
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
      this.#server.closeAllConnections();
    });
  }
}

function write(res: ServerResponse, status: number, type: string, body: string): void {
  res.statusCode = status;
  res.setHeader("Content-Type", type);
  res.end(body);
}
