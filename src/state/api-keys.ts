import { createHash, timingSafeEqual } from "node:crypto";
import type { Random } from "../ports/random.ts";
import type { ConfigDocument, KeyConfig } from "../protocol/config-document.ts";

const KEY_ID_BYTES = 6;
const KEY_BYTES = 32;
const SALT_BYTES = 16;
/** A key as callers send it: its id, a dot and the secret part. */
const KEY_FORM = /^([0-9a-z-]{1,32})\.[!-~]{8,128}$/;

/** A newly issued key. `clear` is shown once and stored nowhere. */
export interface IssuedKey {
  readonly clear: string;
  readonly stored: KeyConfig;
}

/** Issues a key. Keys have 256 random bits, so a fast salted hash is enough. */
export function issueKey(random: Random): IssuedKey {
  const clear = `${random.hex(KEY_ID_BYTES)}.${random.hex(KEY_BYTES)}`;
  return { clear, stored: hashKey(clear, random.hex(SALT_BYTES)) };
}

/** What is stored of a key, also of one that was chosen for a demonstration. */
export function hashKey(clear: string, salt: string): KeyConfig {
  return { id: keyIdOf(clear), salt, hash: digest(salt, clear).toString("hex") };
}

/** Part of a key by which it is found. Keys of another form are found by a digest. */
function keyIdOf(clear: string): string {
  const issued = KEY_FORM.exec(clear)?.[1];
  return (
    issued ??
    createHash("sha256")
      .update(clear)
      .digest("hex")
      .slice(0, 2 * KEY_ID_BYTES)
  );
}

function digest(salt: string, clear: string): Buffer {
  return createHash("sha256").update(`${salt}:${clear}`).digest();
}

/** A stored key with its team, prepared for comparison. */
interface IndexedKey {
  readonly team: string;
  readonly salt: string;
  readonly hash: Buffer;
}

/** The keys of one configuration revision, found by key id so that a request costs one hash. */
export class KeyIndex {
  readonly #keys = new Map<string, IndexedKey>();

  constructor(config: ConfigDocument) {
    for (const team of config.teams) {
      for (const key of team.keys) {
        const hash = Buffer.from(key.hash, "hex");
        this.#keys.set(key.id, { team: team.name, salt: key.salt, hash });
      }
    }
  }

  /** Team of a key given in the clear, or undefined if no team has it. */
  teamOf(clear: string): string | undefined {
    const key = this.#keys.get(keyIdOf(clear));
    if (key === undefined) return undefined;
    const given = digest(key.salt, clear);
    return given.length === key.hash.length && timingSafeEqual(given, key.hash)
      ? key.team
      : undefined;
  }
}
