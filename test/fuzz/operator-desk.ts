import { ConfigStore } from "../../src/coordination/config-store.ts";
import { OperatorActions } from "../../src/coordination/operator-actions.ts";
import type { Clock } from "../../src/ports/clock.ts";
import type { KeyValueService } from "../../src/ports/key-value-service.ts";
import type { ConfigDocument } from "../../src/protocol/config-document.ts";
import type { ConfigContent } from "../../src/state/config-diff.ts";
import type { SeededRandom } from "../fakes/seeded-random.ts";
import type { Oracle } from "./oracle.ts";

/** A change of the configuration. */
export type Edit = (doc: ConfigDocument) => ConfigDocument;

/** Options of {@link OperatorDesk}. */
export interface OperatorDeskOptions {
  /** The operators' client of the key-value service. */
  readonly keyValue: KeyValueService;
  readonly clock: Clock;
  readonly oracle: Oracle;
  readonly random: SeededRandom;
}

/** Operators who use the product's own actions, over a link that can fail. */
export class OperatorDesk {
  /** Keys of each team in the clear, oldest first, withdrawn ones included. */
  readonly keys = new Map<string, string[]>();
  readonly #actions: OperatorActions;
  readonly #oracle: Oracle;
  readonly #withdrawn = new Set<string>();
  readonly #keyIds = new Map<string, string[]>();

  constructor({ keyValue, clock, oracle, random }: OperatorDeskOptions) {
    const store = new ConfigStore({ clock, keyValue });
    this.#actions = new OperatorActions({ clock, random, store });
    this.#oracle = oracle;
  }

  /** Edits the configuration as it is stored now; false if that failed or another was first. */
  async apply(edit: Edit): Promise<boolean> {
    const shown = await this.#actions.show();
    if (shown.err) return false;
    const { document } = shown.val;
    return (await this.#put(edit(document), document.revision)) !== "refused";
  }

  /** Operators put edits of one base into force at the same time. */
  async race(edits: readonly Edit[]): Promise<void> {
    const shown = await this.#actions.show();
    if (shown.err) return;
    const { document } = shown.val;
    const contents = edits.map((edit) => edit(document));
    const accepted = await Promise.all(
      contents.map((content) => this.#put(content, document.revision)),
    );
    this.#oracle.raced(accepted.map((outcome) => outcome === "changed"));
  }

  /** Gives the team a new key and returns it in the clear, or undefined if that failed. */
  async giveKey(team: string): Promise<string | undefined> {
    const given = await this.#actions.issueKey(team);
    if (given.err) return undefined;
    const { clear, keyId, revision } = given.val;
    this.#oracle.operators.toldAccepted(revision);
    this.#oracle.operators.issuedKey(clear, keyId, team);
    this.keys.set(team, [...(this.keys.get(team) ?? []), clear]);
    this.#keyIds.set(team, [...(this.#keyIds.get(team) ?? []), keyId]);
    return clear;
  }

  /** The key that {@link withdrawKey} would withdraw, in the clear. */
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
    this.#oracle.operators.toldAccepted(withdrawn.val);
  }

  async setLimit(team: string, upperLimit: number): Promise<void> {
    await this.apply(limitEdit(team, upperLimit));
  }

  async #put(doc: ConfigDocument, base: number): Promise<"changed" | "unchanged" | "refused"> {
    const { revision: _revision, writeId: _writeId, acceptedAt: _acceptedAt, ...content } = doc;
    const applied = await this.#actions.apply(content satisfies ConfigContent, base);
    if (applied.err) return "refused";
    this.#oracle.operators.toldAccepted(applied.val.revision);
    return applied.val.changes.length > 0 ? "changed" : "unchanged";
  }
}

/** Sets a team's upper limit. */
export function limitEdit(team: string, upperLimit: number): Edit {
  return (doc) => ({
    ...doc,
    teams: doc.teams.map((t) => (t.name === team ? { ...t, upperLimit } : t)),
  });
}
