import type { SimulatedRequest } from "../callers.ts";
import type { World } from "../world.ts";

/** Cuts links for a time. With `late`, messages caught by the cut arrive after it heals. */
export function cutFor(world: World, a: string, b: string, ms: number, late: boolean): void {
  world.links.setLateDelivery(late);
  world.links.cut(a, b);
  world.recordFault(ms);
  world.clock.schedule(ms, () => {
    world.links.heal(a, b);
    world.observe();
  });
}

/** Sends the same kind of request, with a new job each, to every entry instance. */
export function submitEverywhere(
  world: World,
  request: Pick<SimulatedRequest, "queue" | "team" | "key" | "timeoutMs">,
): void {
  const rest = { idempotencyKey: undefined, priority: "normal", atMostOnce: false } as const;
  for (const slot of world.slots) {
    world.callers.submit({ ...request, ...rest, job: world.callers.newJob() }, slot, "sync");
  }
}
