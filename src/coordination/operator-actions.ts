import { Err, Ok, type Result } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import type { ConfigDocument, TeamConfig } from "../protocol/config-document.ts";
import {
  diffConfig,
  isKeyChange,
  type ConfigChange,
  type ConfigContent,
} from "../state/config-diff.ts";
import { issueKey } from "../state/api-keys.ts";
import type { ConfigStore, ConfigStoreError, StoredConfig } from "./config-store.ts";

/** An edit fails after this many attempts in which another write was stored first. */
const MAX_EDIT_ATTEMPTS = 20;

/** Why an operator's action failed. */
export type OperatorError =
  | Exclude<ConfigStoreError, { readonly kind: "raced" }>
  /** Another operator has changed the configuration since `baseRevision`; nothing was written. */
  | {
      readonly kind: "conflict";
      readonly baseRevision: number;
      readonly currentRevision: number;
      /** Changes since the base; undefined if the base is no longer in the history. */
      readonly changes: readonly ConfigChange[] | undefined;
    }
  | { readonly kind: "no-config" }
  | { readonly kind: "unknown-team"; readonly team: string; readonly teams: readonly string[] }
  | { readonly kind: "unknown-key"; readonly keyId: string; readonly keyIds: readonly string[] };

/** An accepted configuration. */
export interface AcceptedConfig {
  readonly revision: number;
  readonly changes: readonly ConfigChange[];
}

/** A newly issued key. The clear text must be shown once and must not be stored. */
export interface IssuedKey {
  readonly revision: number;
  readonly keyId: string;
  readonly clear: string;
}

/** Options of {@link OperatorActions}. */
export interface OperatorActionsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ConfigStore;
}

/** Computes the next configuration from the stored one. */
type Edit<T> = (
  current: ConfigDocument | undefined,
) => Promise<Result<{ readonly content: ConfigContent; readonly value: T }, OperatorError>>;

/** Reads and changes the configuration on behalf of operators. */
export class OperatorActions {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #store: ConfigStore;

  constructor({ clock, random, store }: OperatorActionsOptions) {
    this.#clock = clock;
    this.#random = random;
    this.#store = store;
  }

  /**
   * Applies a configuration template. `baseRevision` is the revision that the template was edited
   * from; it defaults to the revision that is read first. Stored API keys are kept, and keys that
   * were issued or withdrawn since the base are not a conflict.
   */
  async apply(
    content: ConfigContent,
    baseRevision?: number,
  ): Promise<Result<AcceptedConfig, OperatorError>> {
    let base = baseRevision;
    return this.#edit(async (current) => {
      const revision = current?.revision ?? 0;
      base ??= revision;
      if (base !== revision) {
        const conflict = await this.#findConflict(base, current);
        if (conflict !== undefined) return Err(conflict);
      }
      const next = withStoredKeys(content, current);
      return Ok({ content: next, value: current === undefined ? [] : diffConfig(current, next) });
    }).then((edited) =>
      edited.map(({ revision, value }): AcceptedConfig => ({ revision, changes: value })),
    );
  }

  /** Issues an API key for a team. */
  async issueKey(team: string): Promise<Result<IssuedKey, OperatorError>> {
    const key = issueKey(this.#random);
    const edited = await this.#editTeam(team, (found) =>
      Ok({ ...found, keys: [...found.keys, key.stored] }),
    );
    return edited.map((revision) => ({ revision, keyId: key.stored.id, clear: key.clear }));
  }

  /** Withdraws an API key of a team. Returns the revision from which the key is refused. */
  async withdrawKey(team: string, keyId: string): Promise<Result<number, OperatorError>> {
    return this.#editTeam(team, (found) => {
      const keyIds = found.keys.map((key) => key.id);
      if (!keyIds.includes(keyId)) return Err({ kind: "unknown-key", keyId, keyIds });
      return Ok({ ...found, keys: found.keys.filter((key) => key.id !== keyId) });
    });
  }

  /** Reads the stored configuration; fails with `no-config` if there is none. */
  async show(): Promise<Result<StoredConfig, OperatorError>> {
    const read = await this.#store.read();
    if (read.err) return Err(toOperatorError(read.val));
    return read.val === undefined ? Err({ kind: "no-config" }) : Ok(read.val);
  }

  /** Lists superseded configurations, newest first. */
  async history(): Promise<Result<readonly ConfigDocument[], OperatorError>> {
    const history = await this.#store.readHistory();
    return history.mapErr(toOperatorError);
  }

  async #editTeam(
    name: string,
    change: (team: TeamConfig) => Result<TeamConfig, OperatorError>,
  ): Promise<Result<number, OperatorError>> {
    const edited = await this.#edit((current) => {
      if (current === undefined) return Promise.resolve(Err({ kind: "no-config" as const }));
      const found = current.teams.find((team) => team.name === name);
      if (found === undefined) {
        const teams = current.teams.map((team) => team.name);
        return Promise.resolve(Err({ kind: "unknown-team" as const, team: name, teams }));
      }
      const changed = change(found);
      if (changed.err) return Promise.resolve(changed);
      const teams = current.teams.map((team) => (team === found ? changed.val : team));
      return Promise.resolve(Ok({ content: { ...current, teams }, value: undefined }));
    });
    return edited.map(({ revision }) => revision);
  }

  /** Applies an edit to the newest configuration; retries if another write was stored first. */
  async #edit<T>(
    edit: Edit<T>,
  ): Promise<Result<{ readonly revision: number; readonly value: T }, OperatorError>> {
    for (let attempt = 0; attempt < MAX_EDIT_ATTEMPTS; attempt++) {
      const read = await this.#store.read();
      if (read.err) return Err(toOperatorError(read.val));
      const edited = await edit(read.val?.document);
      if (edited.err) return edited;
      const revision = await this.#nextRevision(read.val);
      if (revision.err) return revision;
      const document: ConfigDocument = {
        ...edited.val.content,
        revision: revision.val,
        writeId: this.#random.uuidV7(this.#clock.wallTime()),
        acceptedAt: this.#clock.wallTime(),
      };
      const written = await this.#store.write(read.val, document);
      if (written.ok) {
        await this.#store.pruneHistory();
        return Ok({ revision: revision.val, value: edited.val.value });
      }
      if (written.val.kind !== "raced") return Err(toOperatorError(written.val));
    }
    return Err({
      kind: "unavailable",
      detail: "another write was stored first in every attempt",
    });
  }

  /**
   * Returns the revision of the next configuration. After a deletion no revision may be reused: the
   * deleted configuration is not in the history, and its revision followed the newest one there.
   */
  async #nextRevision(base: StoredConfig | undefined): Promise<Result<number, OperatorError>> {
    if (base !== undefined) return Ok(base.document.revision + 1);
    const history = await this.#store.readHistory();
    if (history.err) return Err(toOperatorError(history.val));
    const newest = history.val[0]?.revision;
    return Ok(newest === undefined ? 1 : newest + 2);
  }

  /** Returns undefined if only API keys have changed since the base. */
  async #findConflict(
    baseRevision: number,
    current: ConfigDocument | undefined,
  ): Promise<OperatorError | undefined> {
    const currentRevision = current?.revision ?? 0;
    const base = await this.#store.readSuperseded(baseRevision);
    if (base.err) return toOperatorError(base.val);
    const changes =
      base.val === undefined || current === undefined ? undefined : diffConfig(base.val, current);
    if (changes?.every(isKeyChange) === true) return undefined;
    return { kind: "conflict", baseRevision, currentRevision, changes };
  }
}

function withStoredKeys(
  content: ConfigContent,
  current: ConfigDocument | undefined,
): ConfigContent {
  const teams = content.teams.map((team) => ({
    ...team,
    keys: current?.teams.find((stored) => stored.name === team.name)?.keys ?? [],
  }));
  return { ...content, teams };
}

function toOperatorError(err: ConfigStoreError): OperatorError {
  // Not reached for `raced`: `#edit` retries raced writes, and reads are never raced.
  return err.kind === "raced" ? { kind: "unavailable", detail: "raced" } : err;
}
