import { randomBytes, randomInt } from "node:crypto";
import { v7 } from "uuid";
import { Random } from "./random.ts";

/** Largest range of `randomInt`, which caches random bytes instead of fetching them per number. */
const RANDOM_RANGE = 2 ** 48 - 1;

/** Unpredictable random numbers and identifiers from the operating system's generator. */
export class SystemRandom extends Random {
  next(): number {
    return randomInt(RANDOM_RANGE) / RANDOM_RANGE;
  }

  uuidV7(wallTimeMs: number): string {
    return v7({ msecs: wallTimeMs, random: randomBytes(16) });
  }

  hex(bytes: number): string {
    return randomBytes(bytes).toString("hex");
  }
}
