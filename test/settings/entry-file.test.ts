import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readEntrySettings } from "../../src/settings/entry-file.ts";
import { formatProblem } from "../../src/settings/settings-problem.ts";

const EXAMPLE = readFileSync("examples/entry.ini", "utf8");

function findProblems(from: string, to: string): readonly string[] {
  assert.ok(EXAMPLE.includes(from), `example has no "${from}"`);
  const read = readEntrySettings("entry.ini", EXAMPLE.replace(from, to));
  return read.err ? read.val.map(formatProblem) : [];
}

// Guards against an entry instance that starts with settings that its operator did not intend.
const CASES: readonly (readonly [from: string, to: string, problem: RegExp])[] = [
  [
    "admin_address = 127.0.0.1:8081",
    "admin_address = localhost",
    /\[entry\] admin_address = "localhost": allowed: an IP address and a port, as in 127\.0\.0\.1:8080/,
  ],
  [
    "admin_address = 127.0.0.1:8081",
    "admin_address = 127.0.0.1:8080",
    /\[entry\] admin_address = "127\.0\.0\.1:8080": the same address as caller_address/,
  ],
  ["zone = andina-a", "", /\[entry\] zone: missing; allowed: 1 to 63 lower-case letters/],
  ["[timing]", "[timings]", /\[timings\]: unknown section; did you mean "timing"\?/],
  ["lease_ttl_ms = 4000", "lease_ttl = 4000", /lease_ttl = "4000": unknown key; did you mean/],
  [
    "lease_ttl_ms = 4000",
    "lease_ttl_ms = 4s",
    /lease_ttl_ms = "4s": allowed: a whole number from 200 to 60000 \(milliseconds\)/,
  ],
  [
    "key_freshness_ms = 4000",
    "key_freshness_ms = 2000",
    /key_freshness_ms = "2000": 2000 is too short for config_watch_ms 1500; allowed: at least 4000/,
  ],
  [
    "session_ttl_ms = 6000",
    "session_ttl_ms = 3000",
    /session_ttl_ms = "3000": 3000 is shorter than lease_ttl_ms; allowed: at least 4000/,
  ],
  ["http://127.0.0.1:9100", "127.0.0.1:9100", /key_value_url = .* allowed: a URL, as in http/],
];
for (const [from, to, problem] of CASES) {
  test(`"${to === "" ? `no ${from}` : to}" is refused with a message that says what is allowed`, () => {
    const found = findProblems(from, to);
    assert.ok(
      found.some((line) => problem.test(line)),
      found.join("\n"),
    );
  });
}

test.run();
