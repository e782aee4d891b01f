import fc from "fast-check";
import type { JobWorld } from "./job-world.ts";

/** One step of a history: an action of a caller, a fault or an advance of the clock. */
export interface JobCommand {
  readonly name: string;
  readonly run: (world: JobWorld) => void | Promise<void>;
}

const smallIndex = fc.nat({ max: 5 });
const faultMs = fc.integer({ min: 200, max: 9000 });

function command(name: string, run: (world: JobWorld) => void | Promise<void>): JobCommand {
  return { name, run };
}

const submit = fc
  .tuple(fc.nat({ max: 12 }), fc.nat({ max: 3 }), smallIndex)
  .map(([number, shape, at]) =>
    command(`submit ${number} shape ${shape} at ${at}`, (world) => {
      world.submit(number, shape, at);
    }),
  );
const cancel = fc.tuple(fc.nat({ max: 12 }), smallIndex).map(([number, at]) =>
  command(`cancel ${number} at ${at}`, (world) => {
    world.cancel(number, at);
  }),
);
const advance = fc
  .integer({ min: 20, max: 3000 })
  .map((ms) => command(`advance ${ms}`, (world) => world.advance(ms)));
const kill = fc.constant(
  command("kill scheduler", (world) => {
    world.killScheduler();
  }),
);
const killAll = fc.constant(
  command("kill all", (world) => {
    world.killAll();
  }),
);
const schedulerFault = fc
  .tuple(fc.constantFrom("freeze" as const, "no-store" as const, "no-servers" as const), faultMs)
  .map(([fault, ms]) =>
    command(`scheduler ${fault} ${ms}`, (world) => {
      world.injectSchedulerFault(fault, ms);
    }),
  );
const loseAnswers = fc
  .tuple(fc.integer({ min: 1, max: 3 }), fc.nat({ max: 5000 }))
  .map(([count, lateMs]) =>
    command(`lose ${count} answers late ${lateMs}`, (world) => {
      world.loseAnswers(count, lateMs);
    }),
  );
const storeDown = faultMs.map((ms) =>
  command(`store down ${ms}`, (world) => {
    world.storeDown(ms);
  }),
);
const crash = fc.tuple(smallIndex, faultMs).map(([number, ms]) =>
  command(`crash server ${number} ${ms}`, (world) => {
    world.crashServer(number, ms);
  }),
);
const cut = fc.tuple(smallIndex, faultMs).map(([number, ms]) =>
  command(`cut server ${number} ${ms}`, (world) => {
    world.cutServer(number, ms);
  }),
);
const lateStarts = fc.tuple(smallIndex, fc.nat({ max: 6000 })).map(([number, ms]) =>
  command(`late starts ${number} ${ms}`, (world) => {
    world.delayStarts(number, ms);
  }),
);
const evacuate = fc
  .tuple(fc.nat({ max: 1 }), fc.integer({ min: 1000, max: 14_000 }))
  .map(([zone, ms]) =>
    command(`evacuate z${zone} ${ms}`, (world) => {
      world.evacuate(`z${zone}`, ms);
    }),
  );
const reboot = fc
  .record({
    server: smallIndex,
    // A server that is back at once carries out the orders that were on their way to its former boot.
    downMs: fc.oneof(fc.constant(0), fc.nat({ max: 800 })),
    announcedAfterMs: fc.nat({ max: 3000 }),
    cutAfterMs: fc.nat({ max: 3000 }),
    cutMs: fc.integer({ min: 4000, max: 14_000 }),
  })
  .map(({ server, ...times }) =>
    command(`reboot server ${server} ${JSON.stringify(times)}`, (world) => {
      world.rebootAndCutServer(server, times);
    }),
  );

/** Generates histories. Submitting a job and advancing the clock are the most frequent commands. */
export function jobHistories(): fc.Arbitrary<readonly JobCommand[]> {
  const anyCommand = fc.oneof(
    { weight: 8, arbitrary: submit },
    { weight: 2, arbitrary: cancel },
    { weight: 8, arbitrary: advance },
    { weight: 2, arbitrary: kill },
    { weight: 1, arbitrary: killAll },
    { weight: 3, arbitrary: schedulerFault },
    { weight: 2, arbitrary: loseAnswers },
    { weight: 1, arbitrary: storeDown },
    { weight: 2, arbitrary: crash },
    { weight: 2, arbitrary: cut },
    { weight: 2, arbitrary: lateStarts },
    { weight: 2, arbitrary: evacuate },
  );
  return fc.array(anyCommand, { minLength: 5, maxLength: 30 });
}

/** Generates histories of servers that boot again under their ids and are cut off soon after. */
export function rebootHistories(): fc.Arbitrary<readonly JobCommand[]> {
  const anyCommand = fc.oneof(
    { weight: 8, arbitrary: submit },
    { weight: 8, arbitrary: advance },
    { weight: 6, arbitrary: reboot },
    { weight: 2, arbitrary: kill },
    { weight: 1, arbitrary: schedulerFault },
    { weight: 1, arbitrary: storeDown },
    { weight: 1, arbitrary: cut },
  );
  return fc.array(anyCommand, { minLength: 5, maxLength: 30 });
}
