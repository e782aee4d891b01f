import type { EventCounter } from "../../src/transport/frame-socket.ts";

/** Counts events by name. */
export class EventLog implements EventCounter {
  readonly counts = new Map<string, number>();

  event(name: string): void {
    this.counts.set(name, this.of(name) + 1);
  }

  of(name: string): number {
    return this.counts.get(name) ?? 0;
  }
}
