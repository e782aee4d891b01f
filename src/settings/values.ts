/** Value types of settings files. Each parses text, and its error message says what is allowed. */
import { isIP, isIPv4 } from "node:net";
import * as v from "valibot";

const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;

/** A name: lower-case letters, digits and dashes. */
export function nameValue(): v.GenericSchema<string, string> {
  return v.pipe(
    v.string(),
    v.regex(NAME, "allowed: 1 to 63 lower-case letters, digits and dashes, as in piedra-viva"),
  );
}

/** A whole number in a range. */
export function wholeNumber(min: number, max: number, unit = ""): v.GenericSchema<string, number> {
  const allowed = `allowed: a whole number from ${min} to ${max}${unit === "" ? "" : ` (${unit})`}`;
  return v.pipe(
    v.string(),
    v.regex(/^-?\d+$/, allowed),
    v.transform(Number),
    v.minValue(min, allowed),
    v.maxValue(max, allowed),
  );
}

/** A number in a range, with an optional decimal part. */
export function decimalNumber(
  min: number,
  max: number,
  unit = "",
): v.GenericSchema<string, number> {
  const allowed = `allowed: a number from ${min} to ${max}${unit === "" ? "" : ` (${unit})`}`;
  return v.pipe(
    v.string(),
    v.regex(/^-?\d+(\.\d+)?$/, allowed),
    v.transform(Number),
    v.minValue(min, allowed),
    v.maxValue(max, allowed),
  );
}

/** `yes` or `no`; `true` and `false` are accepted as well. */
export function yesOrNo(): v.GenericSchema<string, boolean> {
  return v.pipe(
    v.string(),
    v.regex(/^(yes|no|true|false)$/, "allowed: yes or no"),
    v.transform((text) => text === "yes" || text === "true"),
  );
}

/** A time of day `HH:MM` as minutes after midnight; `24:00` is the end of the day. */
export function timeOfDay(): v.GenericSchema<string, number> {
  return v.pipe(
    v.string(),
    v.regex(/^(([01]\d|2[0-3]):[0-5]\d|24:00)$/, "allowed: HH:MM from 00:00 to 24:00 (UTC)"),
    v.transform((text) => Number(text.slice(0, 2)) * 60 + Number(text.slice(3))),
  );
}

/** Names separated by commas. */
export function nameList(): v.GenericSchema<string, readonly string[]> {
  return v.pipe(
    v.string(),
    v.transform((text) =>
      text
        .split(",")
        .map((part) => part.trim())
        .filter((part) => part !== ""),
    ),
    v.array(nameValue()),
  );
}

/** Socket address `IP:PORT`. IPv6 addresses are written in brackets. */
export function socketAddress(): v.GenericSchema<string, string> {
  return v.pipe(
    v.string(),
    v.check(isSocketAddress, "allowed: an IP address and a port, as in 127.0.0.1:8080"),
  );
}

function isSocketAddress(text: string): boolean {
  const parts = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  const port = Number(parts?.[3]);
  if (parts === null || port < 1 || port > 65_535) return false;
  return parts[1] === undefined ? isIPv4(parts[2] ?? "") : isIP(parts[1]) === 6;
}

/** Base URL, such as `http://IP:PORT`. Trailing slashes are removed. */
export function baseUrl(): v.GenericSchema<string, string> {
  return v.pipe(
    v.string(),
    v.check(
      (text) => /^https?:\/\//.test(text) && URL.canParse(text),
      "allowed: a URL, as in http://127.0.0.1:9100",
    ),
    v.transform((text) => text.replace(/\/+$/, "")),
  );
}
