import type { Server } from "node:http";

/**
 * Turns of the event loop in which pending input is read: one accepts connections, the next reads
 * their requests, and one more covers a request that arrives in two segments.
 */
const INPUT_TURNS = 3;

/**
 * Stops accepting connections, closes idle ones and resolves once all open requests have their
 * response. Input that arrived while the process was paused is read first: a timer that fell due
 * during the pause runs before any input is read, and closing a connection with an unread request
 * would reset it.
 */
export async function closeGracefully(server: Server): Promise<void> {
  for (let turn = 0; turn < INPUT_TURNS; turn++) await nextTurn();
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeIdleConnections();
  });
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
