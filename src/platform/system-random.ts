import { randomBytes } from "node:crypto";
import { v7 } from "uuid";
import { Random } from "./random.ts";

const RANDOM_BITS = 48;

/** Unpredictable random numbers and identifiers from the operating system's generator. */
export class SystemRandom extends Random {
  next(): number {
    return randomBytes(RANDOM_BITS / 8).readUIntBE(0, RANDOM_BITS / 8) / 2 ** RANDOM_BITS;
  }

  uuidV7(wallTimeMs: number): string {
    return v7({ msecs: wallTimeMs, random: randomBytes(16) });
  }

  hex(bytes: number): string {
    return randomBytes(bytes).toString("hex");
  }
}
