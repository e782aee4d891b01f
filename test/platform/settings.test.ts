import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readSettings } from "../../platform/settings.ts";

const SETTINGS = `
nodeName = "front-1"
zone = "z"
ip = "10.0.0.1"
portRange = [7000, 7015]
unknownField = "ignored"
[listenAddrs]
front = "10.0.0.1:8340"
ready = "10.0.0.1:8343"
[bounds]
holdMaxMs = 10000
[platform]
address = "10.0.0.2:8344"
`;

function writeSettingsFile(content: string): string {
  const path = join(mkdtempSync(join(tmpdir(), "settings-")), "node.toml");
  writeFileSync(path, content);
  return path;
}

// Guards against settings files that fail because of fields of other programs.
test("unknown settings are ignored and omitted bounds have their default values", () => {
  const settings = readSettings(writeSettingsFile(SETTINGS)).unwrap();
  assert.equal(settings.callers, { host: "10.0.0.1", port: 8340 });
  assert.is(settings.storeUrl, "http://10.0.0.2:8344");
  assert.is(settings.maxServerLeaseMs, 10_000);
  assert.is(settings.keepEndedMs, 120_000);
  assert.is(settings.evacuateMs, 5000);
  assert.is(settings.instanceControlUrl, undefined);
});

// Guards against a capacity of 0 bytes per ms where the settings mean no limit.
test("the link capacity is read from the settings, and 0 or none gives the default capacity", () => {
  const link = (limits: string): number =>
    readSettings(writeSettingsFile(`${SETTINGS}[limits]\n${limits}\n`)).unwrap().linkBytesPerMs;
  assert.is(link("linkMbps = 2.0"), 250);
  assert.is(link("linkMbps = 0"), link(""));
  assert.ok(link("") >= 100_000);
});

// Guards against an error message that does not say which setting to correct.
test("the error for an invalid value names its file, its key and what is allowed", () => {
  const path = writeSettingsFile(SETTINGS.replace('ready = "10.0.0.1:8343"', 'ready = "nowhere"'));
  const err = readSettings(path);
  assert.ok(err.err);
  assert.match(err.val, path);
  assert.match(err.val, "listenAddrs.ready");
  assert.match(err.val, "IP:PORT");
});

// Guards against exceptions instead of an error result.
test("a missing file, invalid TOML and an unset variable are returned as errors", () => {
  assert.ok(readSettings(join(tmpdir(), "missing.toml")).err);
  assert.ok(readSettings(writeSettingsFile("= broken")).err);
  assert.ok(readSettings(undefined).err);
});

test.run();
