import type { ConfigDocument, TeamConfig } from "../../src/protocol/config-document.ts";
import type { Violations } from "./violations.ts";

/**
 * Time after which an accepted configuration must be in force at an entry that can reach the
 * platform: `key_freshness_ms` plus one watch and its transit.
 */
export const IN_FORCE_MS = 6000;

interface Accepted {
  readonly doc: ConfigDocument;
  /** First moment since which some entry could read it without a break; undefined if none can. */
  firstSeenAt: number | undefined;
  /** The same for every live entry. */
  allSeenAt: number | undefined;
}

/** Who can learn of an accepted configuration at one moment. */
export interface Reach {
  /** Some live entry can read the platform. */
  readonly some: boolean;
  /** Every live entry can. */
  readonly all: boolean;
  /** Live incarnations, if every two of them reach each other. @default [] */
  readonly inContact?: readonly string[];
}

/** Options of {@link OperatorHistory}. */
export interface OperatorHistoryOptions {
  readonly now: () => number;
  readonly violations: Violations;
}

/** The configurations that operators had accepted, and which of them can still be in force. */
export class OperatorHistory {
  readonly #options: OperatorHistoryOptions;
  readonly #accepted: Accepted[] = [];
  /** Key in the clear to the team it was issued for. */
  readonly #keyTeams = new Map<string, string>();
  readonly #keyIds = new Map<string, string>();
  /** Highest revision that each incarnation has reported. */
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
    this.#accepted.push({ doc, firstSeenAt: undefined, allSeenAt: undefined });
  }

  /** An operator was told that an edit is in force from this revision. */
  toldAccepted(revision: number): void {
    if (this.#accepted.some(({ doc }) => doc.revision === revision)) return;
    this.#options.violations.add("configuration", `told of revision ${revision}, never written`);
  }

  issuedKey(key: string, keyId: string, team: string): void {
    this.#keyTeams.set(key, team);
    this.#keyIds.set(key, keyId);
  }

  /** States who can learn of configurations at this moment. */
  reachable({ some, all, inContact = [] }: Reach): void {
    const now = this.#options.now();
    // One entry that has read a revision passes it on to all that it reaches.
    const known = Math.max(0, ...inContact.map((name) => this.#reported.get(name) ?? 0));
    const within = (seenAt: number | undefined): boolean =>
      seenAt !== undefined && now - seenAt >= IN_FORCE_MS;
    for (const accepted of this.#accepted) {
      // Once a revision had the time to arrive it stays in force, whatever fails later.
      if (!within(accepted.firstSeenAt))
        accepted.firstSeenAt =
          some || accepted.doc.revision <= known ? (accepted.firstSeenAt ?? now) : undefined;
      if (!within(accepted.allSeenAt))
        accepted.allSeenAt = all ? (accepted.allSeenAt ?? now) : undefined;
    }
  }

  /** An incarnation told a peer which revision it has. */
  reportedRevision(incarnation: string, revision: number): void {
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

  /** The revision that an incarnation last reported. */
  revisionOf(incarnation: string): number | undefined {
    return this.#reported.get(incarnation);
  }

  get latest(): ConfigDocument | undefined {
    return this.#accepted.at(-1)?.doc;
  }

  teamOfKey(key: string): string | undefined {
    return this.#keyTeams.get(key);
  }

  /** Whether work under the key, sent at the given time, may still be accepted. */
  keyMayBeValid(key: string): boolean {
    const team = this.#keyTeams.get(key);
    const keyId = this.#keyIds.get(key);
    return this.#possible("firstSeenAt").some((doc) =>
      doc.teams.some((t) => t.name === team && t.keys.some((k) => k.id === keyId)),
    );
  }

  /** Highest limit of the team among the configurations that can be in force somewhere. */
  highestLimit(team: string): number {
    const limits = this.#possible("allSeenAt").flatMap((doc) =>
      doc.teams.filter((t: TeamConfig) => t.name === team).map((t) => t.upperLimit),
    );
    return Math.max(0, ...limits);
  }

  /** Lowest availability budget of the pool among the configurations that can be in force. */
  lowestMinAvailable(pool: string): number {
    const values = this.#possible("allSeenAt").map(
      (doc) => doc.pools.find((p) => p.name === pool)?.minAvailable ?? 0,
    );
    return Math.min(...values);
  }

  /** Configurations not yet superseded by one that had the time to arrive. */
  #possible(seen: "firstSeenAt" | "allSeenAt"): readonly ConfigDocument[] {
    const now = this.#options.now();
    const settled = this.#accepted.findLastIndex((accepted) => {
      const at = accepted[seen];
      return at !== undefined && now - at >= IN_FORCE_MS;
    });
    return this.#accepted.slice(Math.max(0, settled)).map((accepted) => accepted.doc);
  }
}
