/** Rules that react to failures and complete moves and reboots. */
import type { ServerRecord, ServerState } from "../protocol/fleet-document.ts";
import {
  countAvailable,
  checkAvailabilityBudget,
  explain,
  isAvailable,
  NOTHING_TO_DO,
  poolOf,
  poolsOf,
  rebootId,
  type Figures,
  type FleetSituation,
  type RuleOutcome,
} from "./fleet-situation.ts";
import { transitionTo, replaceServer, type TransitionOptions } from "./fleet-transitions.ts";

/** Time in milliseconds in quarantine before a server is drained and rebooted for repair. */
export const QUARANTINE_MS = 600_000;

/** Decides to change the state of one server. */
export function decideTransition(
  situation: FleetSituation,
  server: ServerRecord,
  to: { readonly state: ServerState; readonly moveTo?: string | undefined },
  reason: { readonly rule: string; readonly text: string; readonly figures?: Figures },
): RuleOutcome {
  const options: TransitionOptions = { at: situation.wallTimeMs, moveTo: to.moveTo };
  const servers = replaceServer(situation.servers, transitionTo(server, to.state, options));
  const explanation = explain(situation, reason.rule, reason.text, reason.figures);
  return { decision: { servers, explanation }, withheld: [] };
}

/**
 * Returns a draining or drained server to service if failures left its pool below its availability
 * budget.
 */
export function cancelDrains(situation: FleetSituation): RuleOutcome {
  for (const pool of poolsOf(situation)) {
    const now = countAvailable(situation, pool.name);
    if (now >= pool.minAvailable) continue;
    const usable = (state: ServerState): ServerRecord | undefined =>
      situation.servers.find(
        (server) =>
          server.pool === pool.name &&
          server.state === state &&
          situation.health.isLive(server.name) &&
          !situation.health.isFaulty(server.name),
      );
    const server = usable("draining") ?? usable("empty");
    if (server === undefined) continue;
    const text = `${server.name} returns to ${pool.name}, which is below its availability budget`;
    const figures = { available: now, minAvailable: pool.minAvailable };
    return decideTransition(
      situation,
      server,
      { state: "serving" },
      { rule: "return-drain", text, figures },
    );
  }
  return NOTHING_TO_DO;
}

/** Quarantines servers that fail tasks which succeed elsewhere, within the availability budget. */
export function quarantine(situation: FleetSituation): RuleOutcome {
  const withheld = [];
  for (const server of situation.servers) {
    // Only servers in service are quarantined: a draining server receives no new work, and a server
    // under repair must not be quarantined again. A server that is down fails no tasks, and in
    // quarantine it would be missing from the available servers once it is back.
    if (!isAvailable(situation, server) || !situation.health.isFaulty(server.name)) continue;
    const { allowed, figures } = checkAvailabilityBudget(situation, server);
    if (allowed) {
      const text = `${server.name} of ${server.pool} fails tasks that succeed elsewhere`;
      return decideTransition(
        situation,
        server,
        { state: "quarantined" },
        { rule: "quarantine", text, figures },
      );
    }
    const text = `quarantine of ${server.name} would break the availability budget of ${server.pool}`;
    withheld.push(explain(situation, "quarantine", text, figures));
  }
  return { withheld };
}

/** Drains servers whose quarantine time has passed, so that they are rebooted. */
export function drainQuarantined(situation: FleetSituation): RuleOutcome {
  const server = situation.servers.find(
    (s) => s.state === "quarantined" && situation.wallTimeMs - s.since >= QUARANTINE_MS,
  );
  if (server === undefined) return NOTHING_TO_DO;
  const text = `${server.name} is drained for a reboot after its quarantine`;
  return decideTransition(situation, server, { state: "draining" }, { rule: "repair", text });
}

/** Orders the move or reboot for which an empty server was drained. */
export function orderMoveOrReboot(situation: FleetSituation): RuleOutcome {
  const server = situation.servers.find((s) => s.state === "empty");
  if (server === undefined) return NOTHING_TO_DO;
  if (server.moveTo === undefined) {
    const text = `${server.name} is empty and will be rebooted`;
    return decideTransition(
      situation,
      server,
      { state: "rebooting" },
      { rule: "order-reboot", text },
    );
  }
  if (poolOf(situation, server.moveTo) === undefined) {
    const text = `pool ${server.moveTo} no longer exists; ${server.name} stays in ${server.pool}`;
    return decideTransition(situation, server, { state: "serving" }, { rule: "cancel-move", text });
  }
  const text = `${server.name} is empty and moves from ${server.pool} to ${server.moveTo}`;
  const figures = { epoch: server.epoch + 1 };
  return decideTransition(
    situation,
    server,
    { state: "moving" },
    { rule: "order-move", text, figures },
  );
}

/** Puts moved and rebooted servers back into service. */
export function finishOrders(situation: FleetSituation): RuleOutcome {
  const { servers, health, rebooted } = situation;
  const moved = servers.find((s) => s.state === "moving" && health.isLive(s.name));
  if (moved !== undefined) {
    const text = `${moved.name} is in service in ${moved.pool} after its move`;
    return decideTransition(situation, moved, { state: "serving" }, { rule: "finish-move", text });
  }
  const rebootedServer = servers.find(
    (s) => s.state === "rebooting" && rebooted.has(rebootId(s)) && health.isLive(s.name),
  );
  if (rebootedServer === undefined) return NOTHING_TO_DO;
  const text = `${rebootedServer.name} is in service in ${rebootedServer.pool} after its reboot`;
  const figures = { downMs: situation.wallTimeMs - rebootedServer.since };
  return decideTransition(
    situation,
    rebootedServer,
    { state: "serving" },
    { rule: "finish-reboot", text, figures },
  );
}
