import { test } from "uvu";
import { assertValidWrites } from "../fakes/fleet-checks.ts";
import {
  exampleConfig,
  exampleInstances,
  MAINTENANCE,
  PlannedFleet,
} from "../fakes/planned-fleet.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";

const ALL = exampleInstances();
/** Only a few seeds, since each takes 1.4 s. */
const SEEDS = [1, 5, 17, 51];

/** Applies a random fault or input change; down, failing and unlisted servers recover later. */
function injectFault(fleet: PlannedFleet, draw: (count: number) => number): void {
  const { name, rack } = ALL[draw(ALL.length)]!;
  const add = (set: Set<string>, server: string, ms: number): void => {
    set.add(server);
    fleet.clock.schedule(ms, () => set.delete(server));
  };
  const pools = exampleConfig().pools.map((pool) => ({
    ...pool,
    targetSize: pool.minAvailable + draw(5),
  }));
  const faults: readonly (() => void)[] = [
    () => {
      add(fleet.health.down, name, draw(30_000));
    },
    () => {
      add(fleet.health.failing, name, draw(30_000));
    },
    () => {
      ALL.filter((i) => i.rack === rack).forEach((i) => {
        add(fleet.health.down, i.name, 20_000);
      });
    },
    () => {
      add(fleet.list.missing, name, draw(60_000));
    },
    () => (fleet.config.document = exampleConfig({ pools })),
    () => (fleet.config.document = exampleConfig({ maintenance: MAINTENANCE })),
    () => (fleet.list.instances = ALL),
    () =>
      (fleet.list.instances = ALL.map((instance) =>
        instance.name === name ? { ...instance, state: "leaving" } : instance,
      )),
  ];
  faults[draw(faults.length)]!();
}

// Guards against simultaneous faults that violate availability budgets or leave plans unfinished.
for (const seed of SEEDS) {
  test(`availability budgets hold under random faults and every plan finishes after them, seed ${seed}`, async () => {
    const random = new SeededRandom(seed);
    const draw = (count: number): number => Math.floor(random.next() * count);
    const fleet = new PlannedFleet();
    if (draw(2) === 0) await fleet.seed();
    fleet.drainMs = 500 + draw(8000);
    fleet.rebootDownMs = draw(20_000);
    fleet.startLeaseHolders();
    const planners = [0, 1000, 2000].map((offset) => fleet.addPlanner(seed + offset));
    for (let step = 0; step < 60; step++) {
      if (draw(8) === 0) planners[draw(3)]!.store.untilResumed = fleet.clock.sleep(draw(15_000));
      else injectFault(fleet, draw);
      await fleet.clock.advance(2000);
    }
    fleet.list.instances = ALL;
    fleet.config.document = exampleConfig({ maintenance: MAINTENANCE });
    await fleet.clock.advance(60_000);
    const { pools } = fleet.config.document;
    const settled = (): boolean => {
      const servers = fleet.kv.fleets.at(-1)?.servers ?? [];
      return (
        servers.length === ALL.length &&
        servers.every((server) => server.state === "serving" && server.rebootedAt > 0) &&
        pools.every((p) => servers.filter((s) => s.pool === p.name).length === p.targetSize)
      );
    };
    await fleet.clock.until(settled, 1_800_000, 2000);
    assertValidWrites(fleet.kv.fleets);
  });
}

test.run();
