import { v7 } from "uuid";
import { Random } from "../../src/ports/random.ts";

/** A deterministic random source (mulberry32). */
export class SeededRandom extends Random {
  #state: number;

  constructor(seed: number) {
    super();
    this.#state = seed >>> 0;
  }

  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let t = this.#state;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296;
  }

  uuidV7(wallTimeMs: number): string {
    const random = Uint8Array.from({ length: 16 }, () => Math.floor(this.next() * 256));
    return v7({ msecs: wallTimeMs, random, seq: Math.floor(this.next() * 0x7fffffff) });
  }

  hex(bytes: number): string {
    return Array.from({ length: bytes }, () =>
      Math.floor(this.next() * 256)
        .toString(16)
        .padStart(2, "0"),
    ).join("");
  }
}
