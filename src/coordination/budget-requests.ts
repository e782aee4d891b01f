/** Requests a team's unused budget from peers. */
import type { BudgetRequest } from "../protocol/peer-messages.ts";
import type { Peers } from "./ports.ts";

const BUDGET_REQUEST_TIMEOUT_MS = 500;
const MAX_ASKED_PEERS = 3;

/**
 * Requests budget from the peers with the most budget above their running tasks. Resolves after
 * all of these calls have ended.
 */
export async function requestBudget(peers: Peers, team: string, wanted: number): Promise<void> {
  const spares = [...peers.gossip().values()].flatMap(({ hello, message }) => {
    const load = message.teams.find((one) => one.team === team);
    // Tasks queued there may lack slots rather than budget, so the peer decides what it needs.
    const spare = load === undefined ? 0 : load.budget - load.running;
    return spare > 0 ? [{ incarnation: hello.incarnation, spare }] : [];
  });
  spares.sort((a, b) => b.spare - a.spare);
  const req: BudgetRequest = { type: "budget-request", team, wanted };
  await Promise.all(
    spares
      .slice(0, MAX_ASKED_PEERS)
      .map(({ incarnation }) => peers.call(incarnation, req, BUDGET_REQUEST_TIMEOUT_MS)),
  );
}
