import { ConfigStore } from "../../src/coordination/config-store.ts";
import { OperatorActions } from "../../src/coordination/operator-actions.ts";
import type { Clock } from "../../src/ports/clock.ts";
import type { KeyValueService } from "../../src/ports/key-value-service.ts";
import type { ConfigDocument } from "../../src/protocol/config-document.ts";
import type { ConfigContent } from "../../src/state/config-diff.ts";
import type { SeededRandom } from "../fakes/seeded-random.ts";
import type { Oracle } from "./oracle.ts";

/** Changes a configuration document. */
export type Edit = (doc: ConfigDocument) => ConfigDocument;

/** Options of {@link SimulatedOperators}. */
export interface SimulatedOperatorsOptions {
  /** The operators' client of the key-value service. */
  readonly keyValue: KeyValueService;
  readonly clock: Clock;
  readonly oracle: Oracle;
  readonly random: SeededRandom;
}

/** Simulated operators, who use the product's operator actions over a link that can fail. */
export class SimulatedOperators {
  /** Plain-text API keys of each team, oldest first, including withdrawn ones. */
  readonly keys = new Map<string, string[]>();
  readonly #actions: OperatorActions;
  readonly #oracle: Oracle;
  readonly #withdrawn = new Set<string>();
  readonly #keyIds = new Map<string, string[]>();

  constructor({ keyValue, clock, oracle, random }: SimulatedOperatorsOptions) {
    const store = new ConfigStore({ clock, keyValue });
    this.#actions = new OperatorActions({ clock, random, store });
    this.#oracle = oracle;
  }

  /** Edits the stored configuration; false if that failed or a concurrent edit was first. */
  async apply(edit: Edit): Promise<boolean> {
    const shown = await this.#actions.show();
    if (shown.err) return false;
    const { document } = shown.val;
    return (await this.#put(edit(document), document.revision)) !== "refused";
  }

  /** Applies several edits of the same base revision concurrently. */
  async race(edits: readonly Edit[]): Promise<void> {
    const shown = await this.#actions.show();
    if (shown.err) return;
    const { document } = shown.val;
    const edited = edits.map((edit) => edit(document));
    const outcomes = await Promise.all(
      edited.map((content) => this.#put(content, document.revision)),
    );
    this.#oracle.raced(outcomes.map((outcome) => outcome === "changed"));
  }

  /** Issues a new key to the team and returns it in plain text, or undefined if that failed. */
  async issueKey(team: string): Promise<string | undefined> {
    const issued = await this.#actions.issueKey(team);
    if (issued.err) return undefined;
    const { clear, keyId, revision } = issued.val;
    this.#oracle.operators.editConfirmed(revision);
    this.#oracle.operators.keyIssued(clear, keyId, team);
    this.keys.set(team, [...(this.keys.get(team) ?? []), clear]);
    this.#keyIds.set(team, [...(this.#keyIds.get(team) ?? []), keyId]);
    return clear;
  }

  /** The team's oldest key that is still valid, in plain text; undefined if it has none. */
  validKey(team: string): string | undefined {
    const at = (this.#keyIds.get(team) ?? []).findIndex((one) => !this.#withdrawn.has(one));
    return this.keys.get(team)?.[at];
  }

  /** Withdraws the team's oldest key that is still valid. */
  async withdrawKey(team: string): Promise<void> {
    const id = (this.#keyIds.get(team) ?? []).find((one) => !this.#withdrawn.has(one));
    if (id === undefined) return;
    const withdrawn = await this.#actions.withdrawKey(team, id);
    if (withdrawn.err) return;
    this.#withdrawn.add(id);
    this.#oracle.operators.editConfirmed(withdrawn.val);
  }

  async setLimit(team: string, upperLimit: number): Promise<void> {
    await this.apply(limitEdit(team, upperLimit));
  }

  async #put(doc: ConfigDocument, base: number): Promise<"changed" | "unchanged" | "refused"> {
    const { revision: _revision, writeId: _writeId, acceptedAt: _acceptedAt, ...content } = doc;
    const applied = await this.#actions.apply(content satisfies ConfigContent, base);
    if (applied.err) return "refused";
    this.#oracle.operators.editConfirmed(applied.val.revision);
    return applied.val.changes.length > 0 ? "changed" : "unchanged";
  }
}

/** Returns an edit that sets a team's upper limit. */
export function limitEdit(team: string, upperLimit: number): Edit {
  return (doc) => ({
    ...doc,
    teams: doc.teams.map((t) => (t.name === team ? { ...t, upperLimit } : t)),
  });
}
