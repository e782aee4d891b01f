import type { ConfigDocument, TeamConfig } from "../../src/protocol/config-document.ts";
import type { Violations } from "./violations.ts";

/**
 * Time after which an accepted configuration must be in force at an entry that can reach the
 * platform, in milliseconds: `key_freshness_ms` plus one watch call and its network latency.
 */
export const IN_FORCE_MS = 6000;

interface AcceptedConfig {
  readonly doc: ConfigDocument;
  /** Time since which some entry has continuously been able to read it; undefined if none can. */
  readableBySomeSince: number | undefined;
  /** Time since which every live entry has continuously been able to read it. */
  readableByAllSince: number | undefined;
}

/** Which entries can read an accepted configuration at one point in time. */
export interface ConfigReachability {
  /** Some live entry can read the platform. */
  readonly some: boolean;
  /** Every live entry can read the platform. */
  readonly all: boolean;
  /** Live incarnations, if every two of them reach each other. @default [] */
  readonly connectedIncarnations?: readonly string[];
}

/** Options of {@link OperatorHistory}. */
export interface OperatorHistoryOptions {
  readonly now: () => number;
  readonly violations: Violations;
}

/** Tracks the accepted configurations and which of them can still be in force. */
export class OperatorHistory {
  readonly #options: OperatorHistoryOptions;
  readonly #accepted: AcceptedConfig[] = [];
  /** Team that each plain-text key was issued for. */
  readonly #keyTeams = new Map<string, string>();
  /** Key id of each plain-text key. */
  readonly #keyIds = new Map<string, string>();
  /** Highest revision that each incarnation has reported to a peer. */
  readonly #reported = new Map<string, number>();

  constructor(options: OperatorHistoryOptions) {
    this.#options = options;
  }

  /** A write of the configuration took effect in the key-value service. */
  accepted(doc: ConfigDocument): void {
    const last = this.#accepted.at(-1);
    if (last !== undefined && doc.revision !== last.doc.revision + 1) {
      this.#options.violations.add(
        "configuration",
        `revision ${doc.revision} written over revision ${last.doc.revision}`,
      );
    }
    this.#accepted.push({ doc, readableBySomeSince: undefined, readableByAllSince: undefined });
  }

  /** An operator got the confirmation that an edit was accepted as this revision. */
  editConfirmed(revision: number): void {
    if (this.#accepted.some(({ doc }) => doc.revision === revision)) return;
    this.#options.violations.add(
      "configuration",
      `revision ${revision} was confirmed to an operator but never written`,
    );
  }

  keyIssued(key: string, keyId: string, team: string): void {
    this.#keyTeams.set(key, team);
    this.#keyIds.set(key, keyId);
  }

  /** Records which entries can read configurations now. */
  reachabilityObserved({ some, all, connectedIncarnations = [] }: ConfigReachability): void {
    const now = this.#options.now();
    // An entry that has read a revision passes it on to every entry that it reaches.
    const knownRevision = Math.max(
      0,
      ...connectedIncarnations.map((name) => this.#reported.get(name) ?? 0),
    );
    const isInForce = (since: number | undefined): boolean =>
      since !== undefined && now - since >= IN_FORCE_MS;
    for (const accepted of this.#accepted) {
      // A revision that was readable for long enough stays in force, whatever fails later.
      if (!isInForce(accepted.readableBySomeSince))
        accepted.readableBySomeSince =
          some || accepted.doc.revision <= knownRevision
            ? (accepted.readableBySomeSince ?? now)
            : undefined;
      if (!isInForce(accepted.readableByAllSince))
        accepted.readableByAllSince = all ? (accepted.readableByAllSince ?? now) : undefined;
    }
  }

  /** An incarnation reported its revision to a peer. */
  revisionReported(incarnation: string, revision: number): void {
    const before = this.#reported.get(incarnation) ?? 0;
    if (revision < before) {
      this.#options.violations.add(
        "configuration",
        `${incarnation} went back from revision ${before} to ${revision}`,
      );
    }
    if (revision > (this.latest?.revision ?? 0)) {
      this.#options.violations.add("configuration", `${incarnation} reports unknown ${revision}`);
    }
    this.#reported.set(incarnation, Math.max(before, revision));
  }

  /** The highest revision that an incarnation has reported. */
  revisionOf(incarnation: string): number | undefined {
    return this.#reported.get(incarnation);
  }

  get latest(): ConfigDocument | undefined {
    return this.#accepted.at(-1)?.doc;
  }

  teamOfKey(key: string): string | undefined {
    return this.#keyTeams.get(key);
  }

  /** Whether a request with the key may still be accepted if it is sent now. */
  keyMayBeValid(key: string): boolean {
    const team = this.#keyTeams.get(key);
    const keyId = this.#keyIds.get(key);
    return this.#possiblyInForce("readableBySomeSince").some((doc) =>
      doc.teams.some((t) => t.name === team && t.keys.some((k) => k.id === keyId)),
    );
  }

  /** Highest limit of the team among the configurations that can be in force somewhere. */
  highestLimit(team: string): number {
    const limits = this.#possiblyInForce("readableByAllSince").flatMap((doc) =>
      doc.teams.filter((t: TeamConfig) => t.name === team).map((t) => t.upperLimit),
    );
    return Math.max(0, ...limits);
  }

  /** Lowest availability budget of the pool among the configurations that can be in force somewhere. */
  lowestMinAvailable(pool: string): number {
    const values = this.#possiblyInForce("readableByAllSince").map(
      (doc) => doc.pools.find((p) => p.name === pool)?.minAvailable ?? 0,
    );
    return Math.min(...values);
  }

  /** The newest configuration that must be in force by now, and every later one. */
  #possiblyInForce(
    readableSince: "readableBySomeSince" | "readableByAllSince",
  ): readonly ConfigDocument[] {
    const now = this.#options.now();
    const settled = this.#accepted.findLastIndex((accepted) => {
      const since = accepted[readableSince];
      return since !== undefined && now - since >= IN_FORCE_MS;
    });
    return this.#accepted.slice(Math.max(0, settled)).map((accepted) => accepted.doc);
  }
}
