import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { exampleInstances, serversByRack } from "../fakes/planned-fleet.ts";
import { TestCli } from "../fakes/test-cli.ts";

async function fixture(): Promise<TestCli> {
  const cli = new TestCli();
  cli.files.set("site.ini", readFileSync("examples/piedra-viva.ini", "utf8"));
  await cli.run("config apply site.ini");
  cli.list.instances = exampleInstances();
  return cli;
}

async function storeFleet(cli: TestCli): Promise<void> {
  const fleet = { writeId: "w", group: "andina", servers: serversByRack(), retired: [] };
  await cli.store.put({ key: "fleet/andina", value: JSON.stringify(fleet), expectedRevision: 0 });
}

// Guards against a dry run that changes the fleet, or that applies other rules than the planner.
test("plan prints the rule and figures of each decision and writes nothing", async () => {
  const cli = await fixture();
  const before = (await cli.store.list("")).unwrap();
  await cli.run("plan --instance-list http://127.0.0.1:9101");
  assert.is(cli.code, 0);
  assert.equal(cli.out, [
    "andina: 1 decisions",
    "  add: 35 new servers go to the pools that need them most (added 35, servers 35)",
    "  withheld: maintenance: reboots in enrolment, allotments, certification, ledgers, shared wait for the window of the fleet (03:00 to 09:00 UTC) (due 35, opensInMinutes 287)",
  ]);
  assert.equal((await cli.store.list("")).unwrap(), before);
});

// Guards against a shortage that is missing from the output of status.
test("status shows a pool short of its budget and an uncovered failure domain", async () => {
  const cli = await fixture();
  await storeFleet(cli);
  const session = { incarnation: "e1", zone: "andina-a", adminAddress: "e1:1" };
  const value = JSON.stringify(session);
  await cli.store.put({ key: "sessions/e1", value, expectedRevision: 0 });
  cli.statusReader.statuses.set("e1:1", {
    ...{ incarnation: "e1", zone: "andina-a", configRevision: 1, keyedWorkAllowed: false },
    downServers: ["s00", "s01", "s02"],
    teams: [{ team: "suppliers", running: 3, budget: 5, queued: 2 }],
  });
  await cli.run("status");
  const out = cli.out.join("\n");
  assert.match(out, "e1 in andina-a: revision 1, keyed work stopped");
  assert.match(out, "andina/enrolment: 5 of 8, at least 6; serving 8 SHORT OF BUDGET");
  assert.match(out, "NOT COVERED");
  assert.match(out, "suppliers: 3 of 48; budget 5, queued 2, share 10");
  await cli.run("status --json");
  const json = JSON.parse(cli.out.join("")) as { readonly pools: readonly unknown[] };
  assert.is(json.pools.length, 5);
});

test.run();
