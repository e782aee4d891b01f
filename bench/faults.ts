/** Faults of the scenarios. Times are in milliseconds from the start of the load. */
import type { Clock } from "../src/ports/clock.ts";
import { plannedServers } from "./fleet.ts";
import { entryCount, type Site } from "./site.ts";

/** What faults act on; the baseline has no links, so that a cut does nothing to it. */
export abstract class FaultTarget {
  abstract readonly clock: Clock;
  abstract readonly site: Site;
  abstract cut(a: string, b: string): void;
  abstract heal(a: string, b: string): void;
  /** The server loses its tasks and is not reached until it is restored. */
  abstract loseServer(name: string): void;
  abstract restoreServer(name: string): void;
  /** The server fails every task that it starts. */
  abstract setFailing(name: string): void;
  abstract killEntry(index: number): void;
  /** A process with empty memory takes the place of the one that was killed. */
  abstract replaceEntry(index: number): void;
  /** A server that is drained or rebooted now. */
  abstract serverInMaintenance(): string | undefined;
}

/** A fault that is scheduled when the load starts. */
export abstract class Fault {
  abstract schedule(target: FaultTarget): void;
}

interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Cuts and heals pairs of tags. */
abstract class LinkFault extends Fault {
  readonly #span: Span;

  constructor(span: Span) {
    super();
    this.#span = span;
  }

  protected abstract pairs(site: Site): readonly (readonly [string, string])[];

  schedule(target: FaultTarget): void {
    for (const [a, b] of this.pairs(target.site)) {
      target.clock.schedule(this.#span.fromMs, () => {
        target.cut(a, b);
      });
      target.clock.schedule(this.#span.toMs, () => {
        target.heal(a, b);
      });
    }
  }
}

/** The key-value service and the instance list are not reached by anybody. */
export class PlatformDown extends LinkFault {
  protected pairs(): readonly (readonly [string, string])[] {
    return [["platform", "entry"]];
  }
}

/** The first availability zone is cut off from the others and from the platform. */
export class ZoneCut extends LinkFault {
  protected pairs({ zones }: Site): readonly (readonly [string, string])[] {
    const [first, ...others] = zones.map((zone) => `zone:${zone}`);
    return [...others, "platform"].map((other) => [first!, other]);
  }
}

interface Churn extends Span {
  readonly everyMs: number;
  readonly downMs: number;
}

/** What is lost one after the other, and comes back after a while. */
abstract class ChurnFault extends Fault {
  readonly #churn: Churn;

  constructor(churn: Churn) {
    super();
    this.#churn = churn;
  }

  schedule(target: FaultTarget): void {
    const { fromMs, toMs, everyMs, downMs } = this.#churn;
    for (let at = fromMs, n = 0; at < toMs; at += everyMs, n++) {
      target.clock.schedule(at, () => {
        this.lose(target, n);
      });
      target.clock.schedule(at + downMs, () => {
        this.restore(target, n);
      });
    }
  }

  /** Begins the loss of this number, from 0. */
  protected abstract lose(target: FaultTarget, n: number): void;
  protected abstract restore(target: FaultTarget, n: number): void;
}

/** Entry instances are killed one after the other, and each is replaced after a while. */
export class EntryChurn extends ChurnFault {
  protected lose(target: FaultTarget, n: number): void {
    target.killEntry(entryIndex(target, n));
  }

  protected restore(target: FaultTarget, n: number): void {
    target.replaceEntry(entryIndex(target, n));
  }
}

/** Backend servers are lost one after the other, and each comes back after a while. */
export class ServerChurn extends ChurnFault {
  protected lose(target: FaultTarget, n: number): void {
    target.loseServer(serverName(target, n));
  }

  protected restore(target: FaultTarget, n: number): void {
    target.restoreServer(serverName(target, n));
  }
}

/** Successive losses are in different zones. */
function entryIndex({ site }: FaultTarget, n: number): number {
  return (n * site.entriesPerZone + Math.floor(n / 3)) % entryCount(site);
}

function serverName({ site }: FaultTarget, n: number): string {
  const servers = plannedServers(site);
  return servers[(n * 7) % servers.length]!.name;
}

/** The rack of a server that is in the wave at that time is lost. */
export class RackLostInMaintenance extends Fault {
  readonly #span: Span;

  constructor(span: Span) {
    super();
    this.#span = span;
  }

  schedule(target: FaultTarget): void {
    const { fromMs, toMs } = this.#span;
    target.clock.schedule(fromMs, () => {
      const servers = plannedServers(target.site);
      const inWave = target.serverInMaintenance();
      const rack = servers.find(({ name }) => name === inWave)?.rack ?? servers[0]!.rack;
      for (const server of servers) {
        if (server.rack !== rack) continue;
        target.loseServer(server.name);
        target.clock.schedule(toMs - fromMs, () => {
          target.restoreServer(server.name);
        });
      }
    });
  }
}

/** The first server of each of several pools fails every task that it starts. */
export class FailingServers extends Fault {
  readonly #options: { readonly fromMs: number; readonly pools: number };

  constructor(options: { readonly fromMs: number; readonly pools: number }) {
    super();
    this.#options = options;
  }

  schedule(target: FaultTarget): void {
    const { fromMs, pools } = this.#options;
    const servers = plannedServers(target.site);
    target.clock.schedule(fromMs, () => {
      for (const { name } of target.site.pools.slice(0, pools))
        target.setFailing(servers.find(({ pool }) => pool === name)!.name);
    });
  }
}
