import { createHash, timingSafeEqual } from "node:crypto";
import type { Random } from "../ports/random.ts";
import type { ConfigDocument, KeyConfig } from "../protocol/config-document.ts";

const KEY_ID_BYTES = 6;
const SECRET_BYTES = 32;
const SALT_BYTES = 16;
/** Format of issued keys: key id, dot, secret. */
const KEY_FORMAT = /^([0-9a-z-]{1,32})\.[!-~]{8,128}$/;

/** A newly issued key. `clear` is the plain-text key, which is shown once and never stored. */
export interface IssuedKey {
  readonly clear: string;
  readonly stored: KeyConfig;
}

/** Issues a key. A fast salted hash suffices because keys have 256 random bits. */
export function issueKey(random: Random): IssuedKey {
  const clear = `${random.hex(KEY_ID_BYTES)}.${random.hex(SECRET_BYTES)}`;
  return { clear, stored: hashKey(clear, random.hex(SALT_BYTES)) };
}

/** Builds the stored form of a key. Also accepts keys of other formats, such as fixed demo keys. */
export function hashKey(clear: string, salt: string): KeyConfig {
  return { id: keyIdOf(clear), salt, hash: digest(salt, clear).toString("hex") };
}

/** Id under which a key is indexed. Keys of another format are indexed by a digest. */
function keyIdOf(clear: string): string {
  const issued = KEY_FORMAT.exec(clear)?.[1];
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

/** A stored key and its team, with the hash decoded for comparison. */
interface IndexedKey {
  readonly team: string;
  readonly salt: string;
  readonly hash: Buffer;
}

/**
 * The keys of one configuration revision by key id, so that a lookup computes only one salted hash.
 */
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

  /** Team of a plain-text key, or undefined if no team has this key. */
  teamOf(clear: string): string | undefined {
    const key = this.#keys.get(keyIdOf(clear));
    if (key === undefined) return undefined;
    const computedHash = digest(key.salt, clear);
    return computedHash.length === key.hash.length && timingSafeEqual(computedHash, key.hash)
      ? key.team
      : undefined;
  }
}
