import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { REFUSAL_REASONS, RETRY_REASONS } from "../../src/protocol/refusal.ts";
import * as entry from "../../src/settings/entry-file.ts";
import * as template from "../../src/settings/template-file.ts";

// Guards against settings and counters that the operations page does not document.
test("docs/OPERATIONS.md names every setting, refusal reason and retry reason", () => {
  const page = readFileSync("docs/OPERATIONS.md", "utf8");
  const schemas = [
    ...[entry.EntrySectionSchema, entry.TimingSectionSchema, entry.LimitsSectionSchema],
    ...[template.PoolSectionSchema, template.QueueSectionSchema, template.TeamSectionSchema],
    ...[template.MaintenanceSectionSchema, template.WeightsSectionSchema],
  ];
  const settings = schemas.flatMap((schema) => Object.keys(schema.entries));
  const names = [...settings, ...REFUSAL_REASONS, ...RETRY_REASONS];
  assert.equal(
    names.filter((name) => !page.includes(`\`${name}\``)),
    [],
  );
});

test.run();
