import * as assert from "uvu/assert";
import type { FleetDocument, ServerRecord } from "../../src/protocol/fleet-document.ts";
import { isTransitionAllowed } from "../../src/state/fleet-transitions.ts";
import { exampleConfig } from "./planned-fleet.ts";

/** Counts serving servers by state alone, so that failures do not affect checks of planned work. */
export function countServing(servers: readonly ServerRecord[], pool: string): number {
  return servers.filter((server) => server.pool === pool && server.state === "serving").length;
}

/** Asserts in every write: one record per server, allowed transitions, budgets of planned work. */
export function assertValidWrites(
  writes: readonly FleetDocument[],
  pools = exampleConfig().pools,
): void {
  const lastRecords = new Map<string, ServerRecord>();
  for (const [index, fleet] of writes.entries()) {
    assert.is(new Set(fleet.servers.map((s) => s.name)).size, fleet.servers.length);
    const previous = writes[index - 1]?.servers ?? [];
    for (const server of fleet.servers) {
      const old = lastRecords.get(server.name);
      lastRecords.set(server.name, server);
      if (old === undefined) continue;
      assert.ok(old.state === server.state || isTransitionAllowed(old.state, server.state));
      assert.is(server.epoch, old.epoch + (server.pool === old.pool ? 0 : 1));
      if (server.pool !== old.pool) assert.is(old.state, "empty");
      if (server.state !== "draining" && server.state !== "quarantined") continue;
      if (old.state !== "serving") continue;
      const { minAvailable } = pools.find((pool) => pool.name === old.pool)!;
      assert.ok(countServing(previous, old.pool) - 1 >= minAvailable, `budget of ${old.pool}`);
    }
  }
}
