/** Runs the requests of a scenario against entry instances. */
import type { CallerRequest } from "../src/coordination/ports.ts";
import { apiKeyOf } from "./fleet.ts";
import { ProductFleet, type EntryProcess, type RunOptions } from "./product-fleet.ts";
import type { RunResult } from "./recorder.ts";
import type { Arrival } from "./scenario.ts";

/** Time for the last outcomes to arrive, after the load and one request timeout, in ms. */
export const OUTCOME_GRACE_MS = 1000;

async function submit(fleet: ProductFleet, n: number, arrival: Arrival): Promise<void> {
  const { recorder } = fleet;
  const entry = fleet.readyEntry(arrival.entry);
  const { requests } = entry.instance;
  // A caller that will cancel needs the id of its request.
  const id = arrival.cancelAt === undefined ? undefined : requests.issueId();
  entry.waiting.add(n);
  recorder.submitted(n);
  if (id !== undefined) cancelLater({ fleet, entry, n, arrival, id });
  const reply = await requests.submit(requestOf(n, arrival, id), "sync");
  if (!entry.waiting.delete(n)) return;
  recorder.replied(n, reply.kind === "refusal" ? reply.refusal.reason : undefined);
}

interface Cancellable {
  readonly fleet: ProductFleet;
  readonly entry: EntryProcess;
  readonly n: number;
  readonly arrival: Arrival;
  readonly id: string;
}

function cancelLater({ fleet, entry, n, arrival, id }: Cancellable): void {
  fleet.clock.schedule(arrival.cancelAt! - arrival.at, () => {
    if (!entry.waiting.has(n)) return;
    fleet.recorder.cancelled(n);
    void entry.instance.requests.cancel(id, apiKeyOf(arrival.team)).then(() => {
      fleet.recorder.cancelReplied(n);
    });
  });
}

function requestOf(n: number, arrival: Arrival, id: string | undefined): CallerRequest {
  const { queue, team, priority, timeoutMs } = arrival;
  return {
    queue,
    key: apiKeyOf(team),
    idempotencyKey: id,
    priority,
    idempotent: undefined,
    timeoutMs,
    payload: { contentType: "text/plain", body: Buffer.from(String(n)) },
  };
}

/** Runs the requests of one round against the product. */
export async function runProduct(options: RunOptions): Promise<RunResult> {
  const { scenario, requests } = options;
  const fleet = new ProductFleet(options);
  await fleet.start();
  const { clock, recorder } = fleet;
  recorder.begin();
  for (const fault of scenario.faults ?? []) fault.schedule(fleet);
  for (const [n, arrival] of requests.entries())
    clock.schedule(arrival.at, () => void submit(fleet, n, arrival));
  await clock.advanceTo(clock.now() + scenario.loadMs + scenario.timeoutMs + OUTCOME_GRACE_MS);
  const result = recorder.result();
  fleet.stop();
  return result;
}
