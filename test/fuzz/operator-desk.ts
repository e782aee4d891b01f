import { issueKey } from "../../src/state/keys.ts";
import type { KeyValueService } from "../../src/platform/key-value-service.ts";
import { CONFIG_KEY, type ConfigDocument } from "../../src/protocol/config-document.ts";
import type { SeededRandom } from "../fakes/seeded-random.ts";
import type { Oracle } from "./oracle.ts";

/** A change of the configuration. */
export type Edit = (doc: ConfigDocument) => ConfigDocument;

/** Options of {@link OperatorDesk}. */
export interface OperatorDeskOptions {
  readonly store: KeyValueService;
  readonly oracle: Oracle;
  readonly random: SeededRandom;
  readonly wallTime: () => number;
}

/** Operators: they edit what they read and write it by compare-and-swap. */
export class OperatorDesk {
  readonly #options: OperatorDeskOptions;

  constructor(options: OperatorDeskOptions) {
    this.#options = options;
  }

  /** Applies an edit to the stored configuration; false if another operator was first. */
  async apply(edit: Edit, base?: { doc: ConfigDocument; revision: number }): Promise<boolean> {
    const { store, random, wallTime } = this.#options;
    const from = base ?? (await this.read());
    const doc: ConfigDocument = {
      ...edit(from.doc),
      revision: from.doc.revision + 1,
      writeId: random.hex(8),
      acceptedAt: wallTime(),
    };
    const put = { key: CONFIG_KEY, value: JSON.stringify(doc), expectedRevision: from.revision };
    return (await store.put(put)).ok;
  }

  async read(): Promise<{ doc: ConfigDocument; revision: number }> {
    const entry = (await this.#options.store.get(CONFIG_KEY)).unwrap()!;
    return { doc: JSON.parse(entry.value) as ConfigDocument, revision: entry.revision };
  }

  /** Gives the team a new key and returns it in the clear. */
  async giveKey(team: string): Promise<string> {
    const { random, oracle } = this.#options;
    const { clear: key, stored } = issueKey(random);
    oracle.operators.issuedKey(key, stored.id, team);
    await this.apply((doc) => ({
      ...doc,
      teams: doc.teams.map((t) => (t.name === team ? { ...t, keys: [...t.keys, stored] } : t)),
    }));
    return key;
  }

  /** Withdraws the team's oldest key. */
  async withdrawKey(team: string): Promise<void> {
    await this.apply((doc) => ({
      ...doc,
      teams: doc.teams.map((t) => (t.name === team ? { ...t, keys: t.keys.slice(1) } : t)),
    }));
  }

  async setLimit(team: string, upperLimit: number): Promise<void> {
    await this.apply((doc) => ({
      ...doc,
      teams: doc.teams.map((t) => (t.name === team ? { ...t, upperLimit } : t)),
    }));
  }
}
