import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findUsageProblem } from "../../src/cli/command-line.ts";
import { TestCli } from "../fakes/test-cli.ts";

const TEMPLATE = readFileSync("examples/piedra-viva.ini", "utf8");

function fixture(): TestCli {
  const cli = new TestCli();
  cli.files.set("site.ini", TEMPLATE);
  return cli;
}

async function addEntry(cli: TestCli, name: string, revision: number): Promise<void> {
  const session = { incarnation: name, zone: "andina-a", adminAddress: `${name}:1` };
  const value = JSON.stringify(session);
  await cli.store.put({ key: `sessions/${name}`, value, expectedRevision: 0 });
  const status = { incarnation: name, zone: "andina-a", configRevision: revision };
  cli.statusReader.statuses.set(`${name}:1`, status);
}

// Guards against a check that changes something, or that accepts an invalid file.
test("config check names every problem of a file and exits with 2", async () => {
  const cli = fixture();
  await cli.run("config check site.ini");
  assert.is(cli.code, 0);
  assert.match(cli.out.join(), "5 pools for 35 servers, 6 queues, 6 teams");
  cli.files.set("bad.ini", TEMPLATE.replace("min_available = 6", "min_availabel = 6"));
  await cli.run("config check bad.ini");
  assert.is(cli.code, 2);
  assert.match(cli.errors.join("\n"), /bad\.ini:\d+: \[pool\.enrolment\] min_availabel = "6"/);
  assert.match(cli.errors.join("\n"), `did you mean "min_available"?`);
  await cli.run("config check absent.ini");
  assert.is(cli.code, 2);
});

// Guards against misspelt or malformed options that are silently accepted.
test("invalid options are refused and change nothing", async () => {
  const cli = fixture();
  await cli.run("config apply site.ini --bas 3");
  assert.is(cli.code, 2);
  assert.match(cli.errors.join(), `unknown option --bas; did you mean "base"?`);
  await cli.run("config apply site.ini --base three");
  assert.is(cli.code, 2);
  assert.equal((await cli.store.list("")).unwrap(), []);
});

// Guards against an exit code other than 2 for invalid input, as from sade's own checks.
test("a command line without a known command or with too few arguments is refused", () => {
  const cli = fixture();
  const problem = (line: string): string | undefined =>
    findUsageProblem(cli.program(), line.split(" "));
  assert.is(problem("config check site.ini --parameters p.ini"), undefined);
  assert.is(problem("config --help"), undefined);
  assert.match(problem("config chek site.ini") ?? "", `did you mean "config check"?`);
  assert.is(
    problem("key withdraw --key-value http://127.0.0.1:1 ops"),
    "key withdraw: missing argument; allowed: key withdraw <team> <key-id>",
  );
});

// Guards against reporting a revision as in effect on an entry instance that does not have it.
test("config apply reports which entries have confirmed the revision", async () => {
  const cli = fixture();
  await addEntry(cli, "e1", 1);
  await addEntry(cli, "e2", 0);
  await cli.run("config apply site.ini --wait 2");
  assert.is(cli.code, 0);
  assert.equal(cli.out, ["accepted at revision 1", "in effect on 1 of 2 entries"]);
  assert.equal(cli.errors, ["not confirmed: e2 in andina-a: at revision 0"]);
});

// Guards against a printed configuration that can't be edited and applied again.
test("config show prints a template that applies without a change", async () => {
  const cli = fixture();
  await cli.run("config apply site.ini");
  await cli.run("config show");
  cli.files.set("shown.ini", cli.out.join("\n"));
  await cli.run("config apply shown.ini --base 1");
  assert.is(cli.code, 0);
  assert.equal(cli.out, ["accepted at revision 2", "in effect on 0 of 0 entries"]);
});

// Guards against loss of a team's maintenance window between template, stored document, diff and
// output.
test("a team's maintenance window is kept by apply and show, and refused if it has no usable minute", async () => {
  const cli = fixture();
  await cli.run("config apply site.ini");
  assert.not(JSON.stringify((await cli.store.get("config")).unwrap()).includes("maintenanceStart"));
  const edit = (start: string): string =>
    TEMPLATE.replace(
      "share = 30",
      `share = 30\nmaintenance_start = ${start}\nmaintenance_end = 05:30`,
    );
  cli.files.set("window.ini", edit("22:00"));
  await cli.run("config apply window.ini --base 1");
  assert.equal(cli.out.slice(0, 3), [
    "accepted at revision 2",
    "  [team.head-office] maintenance_start: (none) -> 22:00",
    "  [team.head-office] maintenance_end: (none) -> 05:30",
  ]);
  await cli.run("config show");
  assert.match(cli.out.join("\n"), "maintenance_start = 22:00\nmaintenance_end = 05:30");
  cli.files.set("shown.ini", cli.out.join("\n"));
  await cli.run("config apply shown.ini --base 2");
  assert.equal(cli.out, ["accepted at revision 3", "in effect on 0 of 0 entries"]);
  cli.files.set("window.ini", edit("09:00").replace("05:30", "22:00"));
  for (const command of ["check window.ini", "apply window.ini --base 3"]) {
    await cli.run(`config ${command}`);
    assert.is(cli.code, 2);
    assert.match(
      cli.errors.join("\n"),
      /\[team\.head-office\] maintenance_start = "09:00": no minute/,
    );
  }
});

// Guards against a conflict message that does not say what to do next.
test("a conflicting apply exits with 1 and names the conflicting change", async () => {
  const cli = fixture();
  await cli.run("config apply site.ini");
  cli.files.set("other.ini", TEMPLATE.replace("share = 30", "share = 31"));
  await cli.run("config apply other.ini --base 1");
  await cli.run("config apply site.ini --base 1");
  assert.is(cli.code, 1);
  assert.match(cli.errors.join("\n"), "[team.head-office] share: 30 -> 31");
  assert.match(cli.errors.join("\n"), "--base 2");
  await cli.run("config history");
  assert.match(cli.out.join("\n"), /revision 2.*\n {2}\[team\.head-office\] share: 30 -> 31/);
});

// Guards against commands that disclose the secret or hash of an issued key.
test("a key is printed only once, by key give", async () => {
  const cli = fixture();
  await cli.run("config apply site.ini");
  await cli.run("key give head-office");
  const [clear = ""] = cli.out;
  assert.match(clear, /^[0-9a-f]{12}\.[0-9a-f]{64}$/);
  const [keyId = "", secret = ""] = clear.split(".");
  for (const line of ["key list", "config show --json", "config history --json"]) {
    await cli.run(line);
    assert.not(cli.out.join("\n").includes(secret), line);
    assert.not(cli.out.join("\n").includes("hash"), line);
  }
  await cli.run(`key withdraw head-office ${keyId}`);
  assert.is(cli.code, 0);
  await cli.run(`key withdraw head-office ${keyId}`);
  assert.is(cli.code, 1);
  await cli.run("key give head-offise");
  assert.match(cli.errors.join(), `did you mean "head-office"?`);
});

test.run();
