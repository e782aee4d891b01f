import { createHash } from "node:crypto";

/**
 * Selects a candidate for a name by rendezvous (highest random weight) hashing. All callers with the
 * same candidates select the same one; undefined if there are none.
 */
export function selectByRendezvous(
  name: string,
  candidates: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestWeight = "";
  for (const candidate of candidates) {
    const weight = createHash("sha256").update(`${name}\n${candidate}`).digest("hex");
    if (best === undefined || weight > bestWeight) {
      best = candidate;
      bestWeight = weight;
    }
  }
  return best;
}
