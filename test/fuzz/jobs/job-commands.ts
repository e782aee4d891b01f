import fc from "fast-check";
import type { JobWorld } from "./job-world.ts";

/** One step of a history: what callers do, what fails, and how time passes. */
export interface JobCommand {
  readonly name: string;
  readonly run: (world: JobWorld) => void | Promise<void>;
}

const small = fc.nat({ max: 5 });
const faultMs = fc.integer({ min: 200, max: 9000 });

function command(name: string, run: (world: JobWorld) => void | Promise<void>): JobCommand {
  return { name, run };
}

/** Histories of commands; callers' commands are the most frequent. */
export function jobHistories(): fc.Arbitrary<readonly JobCommand[]> {
  const submit = fc
    .tuple(fc.nat({ max: 12 }), fc.nat({ max: 3 }), small)
    .map(([number, shape, at]) =>
      command(`submit ${number} shape ${shape} at ${at}`, (world) => {
        world.submit(number, shape, at);
      }),
    );
  const cancel = fc.tuple(fc.nat({ max: 12 }), small).map(([number, at]) =>
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
  const disturb = fc
    .tuple(fc.constantFrom("freeze" as const, "no-store" as const, "no-servers" as const), faultMs)
    .map(([fault, ms]) =>
      command(`scheduler ${fault} ${ms}`, (world) => {
        world.disturbScheduler(fault, ms);
      }),
    );
  const lost = fc
    .tuple(fc.integer({ min: 1, max: 3 }), fc.nat({ max: 5000 }))
    .map(([count, lateMs]) =>
      command(`lose ${count} answers late ${lateMs}`, (world) => {
        world.loseAnswers(count, lateMs);
      }),
    );
  const down = faultMs.map((ms) =>
    command(`store down ${ms}`, (world) => {
      world.storeDown(ms);
    }),
  );
  const crash = fc.tuple(small, faultMs).map(([number, ms]) =>
    command(`crash server ${number} ${ms}`, (world) => {
      world.crashServer(number, ms);
    }),
  );
  const cut = fc.tuple(small, faultMs).map(([number, ms]) =>
    command(`cut server ${number} ${ms}`, (world) => {
      world.cutServer(number, ms);
    }),
  );
  const late = fc.tuple(small, fc.nat({ max: 6000 })).map(([number, ms]) =>
    command(`late starts ${number} ${ms}`, (world) => {
      world.lateStarts(number, ms);
    }),
  );
  const one = fc.oneof(
    { weight: 8, arbitrary: submit },
    { weight: 2, arbitrary: cancel },
    { weight: 8, arbitrary: advance },
    { weight: 2, arbitrary: kill },
    { weight: 1, arbitrary: killAll },
    { weight: 3, arbitrary: disturb },
    { weight: 2, arbitrary: lost },
    { weight: 1, arbitrary: down },
    { weight: 2, arbitrary: crash },
    { weight: 2, arbitrary: cut },
    { weight: 2, arbitrary: late },
  );
  return fc.array(one, { minLength: 5, maxLength: 30 });
}
