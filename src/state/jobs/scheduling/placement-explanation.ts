import type { Resources, StepSpec } from "../../../protocol/job-spec.ts";
import type { CandidateGroup } from "../../../protocol/placement-answers.ts";
import { resourcesOccupied } from "./resources.ts";

/** Why a backend server gets no new tasks, whatever they need. */
export type UnavailableReason =
  | "absent"
  | "draining"
  | "evacuated"
  | "planned-work"
  | "unreachable"
  | "not-adopted"
  | "start-failed"
  | "slow-or-failing";

/** A backend server of the pool, as the scheduler sees it now. */
export interface ExplainedServer {
  readonly zone: string;
  readonly labels: readonly string[];
  readonly free: Resources;
  /** Part of the free CPU time, in thousandths of a core, that is kept free while the server is cold. */
  readonly coldCpuMillis: number;
  /** Undefined if the server takes tasks. */
  readonly unavailable: UnavailableReason | undefined;
}

/**
 * Groups the servers of a pool by availability zone and counts the first reason against each for one
 * task of a step. Servers without one are counted as `fitting`.
 */
export function explainCandidates(
  step: StepSpec,
  servers: readonly ExplainedServer[],
): CandidateGroup[] {
  const groups = new Map<string, CandidateGroup>();
  for (const server of servers) {
    const { zone } = server;
    const group = groups.get(zone) ?? { zone, servers: 0, fitting: 0, reasons: {} };
    const reason = reasonAgainst(step, server);
    groups.set(zone, {
      zone,
      servers: group.servers + 1,
      fitting: group.fitting + (reason === undefined ? 1 : 0),
      reasons:
        reason === undefined
          ? group.reasons
          : { ...group.reasons, [reason]: (group.reasons[reason] ?? 0) + 1 },
    });
  }
  return [...groups.values()].sort((a, b) => a.zone.localeCompare(b.zone));
}

function reasonAgainst(
  step: StepSpec,
  { labels, free, coldCpuMillis, unavailable }: ExplainedServer,
): string | undefined {
  if (step.requiredLabel !== "" && !labels.includes(step.requiredLabel)) return "label";
  if (unavailable !== undefined) return unavailable;
  const demand = resourcesOccupied(step);
  if (demand.cpuMillis > free.cpuMillis) return "no-cpu";
  if (demand.memoryMb > free.memoryMb) return "no-memory";
  if (demand.accelerators > free.accelerators) return "no-accelerators";
  if (demand.cpuMillis > free.cpuMillis - coldCpuMillis) return "cold";
  return undefined;
}
