import { test } from "uvu";
import * as assert from "uvu/assert";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

// Guards against a start order that is sent because the placement is confirmed after the cancel.
test("a task is not started if its job is cancelled while its placement is being stored", async () => {
  const cluster = new JobCluster({
    random: new SeededRandom(1),
    behaviour: () => ({ durationMs: 5000 }),
  });
  const { clock } = cluster;
  const scheduler = await cluster.electScheduler();
  const caller = cluster.liveEntries.find((target) => target !== scheduler)!;
  // The response to the write of the placement is lost, so its confirmation is delayed.
  scheduler.store.faults.lostReplies = 1;
  await advanceUntilSettled(clock, cluster.submit(caller, "job", jobRequest(step({ tasks: 2 }))));
  await clock.advance(100);
  const call = { id: "job", organisation: undefined, deadline: clock.now() + 3000 };
  await advanceUntilSettled(clock, caller.entry.service.cancel(call));
  await clock.advance(5000);
  const runs = [...cluster.servers.values()].flatMap(({ history }) => history);
  assert.equal(runs, []);
  assert.is(await cluster.state("job"), "cancelled");
});

test.run();
