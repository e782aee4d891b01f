import { createHash } from "node:crypto";

/**
 * Rendezvous (highest random weight) hashing: callers with the same candidates get the same result.
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
