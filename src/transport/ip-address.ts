import { isIP } from "node:net";
import { Err, Ok, type Result } from "ts-results";

/** A TCP address. */
export interface IpAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Parses `IP:PORT` or `[IPV6]:PORT`. Host names are rejected, because processes address each other
 * by IP.
 */
export function parseIpAddress(text: string): Result<IpAddress, string> {
  const [, bracketed, plain, digits] = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text) ?? [];
  const host = bracketed ?? plain ?? "";
  const port = Number(digits);
  if (isIP(host) === 0 || !(port <= 65_535)) {
    return Err(`"${text}" is not an address; allowed is IP:PORT, for example 127.0.0.1:7001`);
  }
  return Ok({ host, port });
}

/** Formats an address for {@link parseIpAddress}. */
export function formatIpAddress({ host, port }: IpAddress): string {
  return isIP(host) === 6 ? `[${host}]:${port}` : `${host}:${port}`;
}
