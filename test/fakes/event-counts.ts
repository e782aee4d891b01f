import type { EventCounter } from "../../src/transport/frame-socket.ts";

/** An event counter whose counts tests can read. */
export class EventCounts implements EventCounter {
  readonly counts = new Map<string, number>();

  event(name: string): void {
    this.counts.set(name, this.count(name) + 1);
  }

  count(name: string): number {
    return this.counts.get(name) ?? 0;
  }
}
