import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readEntrySettings } from "../../src/settings/entry-file.ts";
import { ENTRY_DEFAULTS } from "../../src/settings/entry-settings.ts";
import { formatProblem } from "../../src/settings/settings-problem.ts";
import { readTemplate } from "../../src/settings/template-file.ts";

// Guards against example files, which new users copy, that are refused or whose weights do not match
// their fleets: the first pays for its buffer servers, in the second crews wait for a roll-out.
for (const [file, servers, highestWeights] of [
  ["examples/piedra-viva.ini", 35, ["bufferCost", "closenessToShare"]],
  ["examples/waitaha.ini", 40, ["closenessToShare", "rolloutTime"]],
] as const) {
  test(`${file} is accepted and has ${servers} servers in 5 pools for 6 teams`, () => {
    const read = readTemplate(file, readFileSync(file, "utf8"));
    if (read.err) throw new Error(read.val.map(formatProblem).join("\n"));
    const sizes = read.val.pools.map((pool) => pool.targetSize);
    assert.is(sizes.length, 5);
    assert.is(
      sizes.reduce((sum, size) => sum + size, 0),
      servers,
    );
    assert.is(read.val.teams.length, 6);
    const weights = Object.entries(read.val.weights);
    const highest = Math.max(...weights.map(([, weight]) => weight));
    const names = weights.filter(([, weight]) => weight === highest).map(([name]) => name);
    assert.equal(names.sort(), highestWeights);
  });
}

// Guards against defaults in the example file that differ from the defaults in the code.
test("examples/entry.ini is accepted and resolves to the defaults", () => {
  const read = readEntrySettings("entry.ini", readFileSync("examples/entry.ini", "utf8"));
  if (read.err) throw new Error(read.val.map(formatProblem).join("\n"));
  assert.is(read.val.zone, "andina-a");
  for (const [key, value] of Object.entries(ENTRY_DEFAULTS)) {
    assert.is(read.val[key as keyof typeof ENTRY_DEFAULTS], value, key);
  }
});

test.run();
