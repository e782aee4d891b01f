/** Reads the CPU time, memory and I/O bytes of a process from the kernel's counters in `/proc`. */
import { readFileSync } from "node:fs";

/** Kernel clock ticks per second; the same on every supported platform. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_MIB = 1024 * 1024;

export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentMib: number;
  /** Bytes of all read and write calls; for an entry instance these are sockets and the log. */
  readonly bytes: number;
}

export function readProcessUsage(pid: number): ProcessUsage {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
  // The fields after the process id and name: index 11 is `utime`, index 12 is `stime`.
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const residentKib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
  const io = readFileSync(`/proc/${pid}/io`, "utf8");
  const bytes = Number(/rchar: (\d+)/.exec(io)?.[1]) + Number(/wchar: (\d+)/.exec(io)?.[1]);
  return {
    bytes,
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentMib: (residentKib * 1024) / BYTES_PER_MIB,
  };
}
