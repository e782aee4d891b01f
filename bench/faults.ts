/** Faults that scenarios inject. Times are in milliseconds from the start of the load. */
import type { Clock } from "../src/ports/clock.ts";
import { initialServers } from "./fleet.ts";
import { entryCount, type Site } from "./site.ts";

/** A fleet that faults are injected into. */
export abstract class FaultTarget {
  abstract readonly clock: Clock;
  abstract readonly site: Site;
  /**
   * Cuts the links between parties with these tags, for example `platform` and `entry`. The baseline
   * has no links, so cuts have no effect on it.
   */
  abstract cut(a: string, b: string): void;
  /** Restores the links that a cut with the same tags disabled. */
  abstract heal(a: string, b: string): void;
  /** The server loses its tasks and is unreachable until it is restored. */
  abstract loseServer(name: string): void;
  abstract restoreServer(name: string): void;
  /** The server fails every task that it starts from now on. */
  abstract setFailing(name: string): void;
  abstract killEntry(index: number): void;
  /** Starts a process without any state in place of the one that was killed. */
  abstract replaceEntry(index: number): void;
  /** A server that is currently draining, empty or rebooting, if there is any. */
  abstract serverInMaintenance(): string | undefined;
}

/** A fault, scheduled when the load starts. */
export abstract class Fault {
  abstract schedule(target: FaultTarget): void;
}

interface FaultSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Cuts links at the start of the span and restores them at its end. */
abstract class LinkFault extends Fault {
  readonly #faultSpan: FaultSpan;

  constructor(span: FaultSpan) {
    super();
    this.#faultSpan = span;
  }

  /** Pairs of tags; the links between parties with the tags of a pair are cut. */
  protected abstract pairs(site: Site): readonly (readonly [string, string])[];

  schedule(target: FaultTarget): void {
    for (const [a, b] of this.pairs(target.site)) {
      target.clock.schedule(this.#faultSpan.fromMs, () => {
        target.cut(a, b);
      });
      target.clock.schedule(this.#faultSpan.toMs, () => {
        target.heal(a, b);
      });
    }
  }
}

/** The key-value service and the instance list are unreachable for every entry instance. */
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

interface Churn extends FaultSpan {
  readonly everyMs: number;
  readonly downMs: number;
}

/** Targets are lost one after another, and each is restored after `downMs`. */
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

  /** Starts loss number `n`, counted from 0. */
  protected abstract lose(target: FaultTarget, n: number): void;
  protected abstract restore(target: FaultTarget, n: number): void;
}

/** Entry instances are killed one after another, and each is replaced after `downMs`. */
export class EntryChurn extends ChurnFault {
  protected lose(target: FaultTarget, n: number): void {
    target.killEntry(entryToKill(target, n));
  }

  protected restore(target: FaultTarget, n: number): void {
    target.replaceEntry(entryToKill(target, n));
  }
}

/** Backend servers are lost one after another, and each is restored after `downMs`. */
export class ServerChurn extends ChurnFault {
  protected lose(target: FaultTarget, n: number): void {
    target.loseServer(serverToLose(target, n));
  }

  protected restore(target: FaultTarget, n: number): void {
    target.restoreServer(serverToLose(target, n));
  }
}

/** Index of the entry to kill; successive losses are in different zones. */
function entryToKill({ site }: FaultTarget, n: number): number {
  return (n * site.entriesPerZone + Math.floor(n / 3)) % entryCount(site);
}

function serverToLose({ site }: FaultTarget, n: number): string {
  const servers = initialServers(site);
  return servers[(n * 7) % servers.length]!.name;
}

/**
 * All servers of a rack are lost: the rack of a server that is in maintenance when the fault starts,
 * or the first rack if there is none.
 */
export class RackLostInMaintenance extends Fault {
  readonly #faultSpan: FaultSpan;

  constructor(span: FaultSpan) {
    super();
    this.#faultSpan = span;
  }

  schedule(target: FaultTarget): void {
    const { fromMs, toMs } = this.#faultSpan;
    target.clock.schedule(fromMs, () => {
      const servers = initialServers(target.site);
      const inMaintenance = target.serverInMaintenance();
      const rack = servers.find(({ name }) => name === inMaintenance)?.rack ?? servers[0]!.rack;
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

/** The first server of each of the first `pools` pools fails every task from `fromMs` on. */
export class FailingServers extends Fault {
  readonly #options: { readonly fromMs: number; readonly pools: number };

  constructor(options: { readonly fromMs: number; readonly pools: number }) {
    super();
    this.#options = options;
  }

  schedule(target: FaultTarget): void {
    const { fromMs, pools } = this.#options;
    const servers = initialServers(target.site);
    target.clock.schedule(fromMs, () => {
      for (const { name } of target.site.pools.slice(0, pools))
        target.setFailing(servers.find(({ pool }) => pool === name)!.name);
    });
  }
}
