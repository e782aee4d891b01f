import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatProblem } from "../../src/settings/settings-problem.ts";
import type { TemplateParameters } from "../../src/settings/substitution.ts";
import { readTemplate } from "../../src/settings/template-file.ts";

const SMALL = `
[parameters]
limit = 10

[pool.main]
group = region
target_size = 4
min_available = 3

[pool.spare]
group = region
target_size = 2
min_available = 1
spare = yes

[queue.jobs]
pool = main

[team.ops]
share = 1
upper_limit = \${limit}
queues = jobs
`;

/** Problems of the small template after a replacement, formatted as an operator sees them. */
function findProblems(
  from: string,
  to: string,
  parameters: TemplateParameters = new Map(),
): readonly string[] {
  assert.ok(SMALL.includes(from), `fixture has no "${from}"`);
  const read = readTemplate("t.ini", SMALL.replace(from, to), parameters);
  return read.err ? read.val.map(formatProblem) : [];
}

// Guards against messages without file, line, section, key, value or the allowed values.
const CASES: readonly (readonly [name: string, from: string, to: string, problem: string])[] = [
  [
    "a misspelt key",
    "min_available = 3",
    "min_avialable = 3",
    `t.ini:8: [pool.main] min_avialable = "3": unknown key; did you mean "min_available"?`,
  ],
  [
    "a misspelt section",
    "[team.ops]",
    "[taem.ops]",
    `t.ini:19: [taem.ops]: unknown section; did you mean "team"?`,
  ],
  [
    "a section without a name",
    "[queue.jobs]",
    "[queue]",
    "t.ini:16: [queue]: allowed: [queue.NAME]",
  ],
  [
    "a number out of range",
    "target_size = 4",
    "target_size = -4",
    `t.ini:7: [pool.main] target_size = "-4": allowed: a whole number from 0 to 10000 (backend servers)`,
  ],
  [
    "a word instead of a number",
    "share = 1",
    "share = much",
    `t.ini:20: [team.ops] share = "much": allowed: a number from 0 to 1000000 (weight among teams)`,
  ],
  [
    "neither yes nor no",
    "spare = yes",
    "spare = maybe",
    `t.ini:14: [pool.spare] spare = "maybe": allowed: yes or no`,
  ],
  [
    "a missing key",
    "target_size = 4\n",
    "",
    "t.ini:5: [pool.main] target_size: missing; allowed: a whole number from 0 to 10000 (backend servers)",
  ],
  [
    "a queue with a pool that does not exist",
    "pool = main",
    "pool = mian",
    `t.ini:17: [queue.jobs] pool = "mian": no [pool.mian] in this file; did you mean "main"?`,
  ],
  [
    "a team with a queue that does not exist",
    "queues = jobs",
    "queues = job",
    `t.ini:22: [team.ops] queues = "job": no [queue.job] in this file; did you mean "jobs"?`,
  ],
  [
    "a budget above the target size",
    "min_available = 3",
    "min_available = 5",
    `t.ini:8: [pool.main] min_available = "5": more than target_size 4; allowed: 0 to 4`,
  ],
  [
    "a group without a spare pool",
    "spare = yes",
    "spare = no",
    `t.ini:14: [pool.spare] spare = "no": group "region" has no spare pool; set spare = yes in one of main, spare`,
  ],
  [
    "shares that are all 0",
    "share = 1",
    "share = 0",
    `t.ini:20: [team.ops] share = "0": every team has share 0; allowed: at least one share above 0`,
  ],
  [
    "an undefined parameter",
    "${limit}",
    "${limti}",
    `t.ini:21: [team.ops] upper_limit = "\${limti}": parameter "limti" has no value; did you mean "limit"?`,
  ],
  [
    "a line that is not a setting",
    "spare = yes",
    "spare",
    `t.ini:14: [pool.spare]: "spare" is neither a section header nor KEY = VALUE`,
  ],
  [
    "a key that is set twice",
    "share = 1",
    "share = 1\nshare = 2",
    "t.ini:21: [team.ops] share: this key was already set on line 20",
  ],
  [
    "a section header followed by text",
    "[queue.jobs]",
    "[queue.jobs] ; all jobs",
    `t.ini:16: [pool.spare]: "[queue.jobs] ; all jobs" is not a section header; allowed: [NAME] alone on its line`,
  ],
  [
    "a team's window without an end",
    "share = 1",
    "share = 1\nmaintenance_start = 01:00",
    `t.ini:21: [team.ops] maintenance_start = "01:00": maintenance_end is missing; allowed: both maintenance_start and maintenance_end, or neither`,
  ],
  [
    "a team's window without a start",
    "share = 1",
    "share = 1\nmaintenance_end = 01:00",
    `t.ini:21: [team.ops] maintenance_end = "01:00": maintenance_start is missing; allowed: both maintenance_start and maintenance_end, or neither`,
  ],
  [
    "a team's window that is empty",
    "share = 1",
    "share = 1\nmaintenance_start = 01:00\nmaintenance_end = 01:00",
    `t.ini:22: [team.ops] maintenance_end = "01:00": the window is empty; allowed: a time other than maintenance_start`,
  ],
  [
    "a fleet's window from the end of a day to its start",
    "[team.ops]",
    "[maintenance]\nstart_time = 24:00\nend_time = 00:00\n[team.ops]",
    `t.ini:21: [maintenance] end_time = "00:00": the window is empty; allowed: a time other than start_time`,
  ],
  [
    "a team's window with an invalid time",
    "share = 1",
    "share = 1\nmaintenance_start = 25:00\nmaintenance_end = 01:00",
    `t.ini:21: [team.ops] maintenance_start = "25:00": allowed: HH:MM from 00:00 to 24:00 (UTC)`,
  ],
  [
    "a team's window outside the fleet's",
    "[team.ops]",
    "[maintenance]\nstart_time = 22:00\nend_time = 02:00\n[team.ops]\nmaintenance_start = 02:00\nmaintenance_end = 22:00",
    `t.ini:23: [team.ops] maintenance_start = "02:00": no minute in common for maintenance of pool "main" in the windows of the fleet (22:00 to 02:00 UTC), team ops (02:00 to 22:00 UTC); allowed: a window that overlaps 22:00 to 02:00`,
  ],
  [
    "windows of two teams of one pool that do not overlap",
    "[team.ops]",
    "[team.first]\nshare = 1\nupper_limit = 1\nmaintenance_start = 23:00\nmaintenance_end = 03:00\n[team.ops]\nmaintenance_start = 03:00\nmaintenance_end = 04:00",
    `t.ini:25: [team.ops] maintenance_start = "03:00": no minute in common for maintenance of pool "main" in the windows of the fleet (00:00 to 24:00 UTC), team first (23:00 to 03:00 UTC), team ops (03:00 to 04:00 UTC); allowed: a window that overlaps 23:00 to 03:00`,
  ],
];
for (const [name, from, to, problem] of CASES) {
  test(`${name} is reported with its location and what is allowed`, () => {
    const found = findProblems(from, to);
    assert.ok(found.includes(problem), found.join("\n"));
  });
}

// Guards against a template that is refused because of windows that apply to different pools.
test("windows of teams without a common pool need not overlap", () => {
  const second = "[queue.other]\npool = spare\n[queue.free]\npool = main\nopen = yes\n";
  const teams = "[team.b]\nshare = 1\nupper_limit = 1\nqueues = other, free\n";
  const b = `${second}${teams}maintenance_start = 05:00\nmaintenance_end = 06:00\n`;
  const ops = `${b}[team.ops]\nmaintenance_start = 22:00\nmaintenance_end = 03:00`;
  assert.equal(findProblems("[team.ops]", ops), []);
  const read = readTemplate("t.ini", SMALL.replace("[team.ops]", ops)).unwrap();
  const { maintenanceStart, maintenanceEnd } = read.teams[1]!;
  assert.equal([maintenanceStart, maintenanceEnd], [1320, 180]);
});

// Guards against reports that stop at the first problem, so that users fix one problem per run.
test("all problems of a file are reported at once", () => {
  const found = findProblems("[pool.main]", "[pool.main]\nsize = 2\nspare = 1");
  assert.is(found.filter((problem) => /size = "2"|spare = "1"/.test(problem)).length, 2);
});

// Guards against parameters that are misspelt on the command line and therefore have no effect.
test("parameters from the command line override those of the file and must be used", () => {
  const read = readTemplate("t.ini", SMALL, new Map([["limit", "77"]])).unwrap();
  assert.is(read.teams[0]?.upperLimit, 77);
  assert.equal(findProblems("share = 1", "share = 1", new Map([["limt", "7"]])), [
    `t.ini: parameter "limt": no value refers to this parameter; did you mean "limit"?`,
  ]);
});

test.run();
