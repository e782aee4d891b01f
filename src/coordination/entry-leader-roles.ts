import type { BackendConnector } from "../ports/backend-server.ts";
import type { InstanceList } from "../ports/instance-list.ts";
import type { KeyValueService } from "../ports/key-value-service.ts";
import type { EntrySettings } from "../settings/entry-settings.ts";
import { LeaderRole } from "./leader-role.ts";
import type { EntryDependencies } from "./entry-dependencies.ts";
import { EntryPlannerSupport } from "./entry-planner-support.ts";
import { Fencing, RECLAIM_INTERVAL_MS, type FencingOptions } from "./fencing.ts";
import { KeyValueFleetStore } from "./fleet-store.ts";
import { HeldHealth } from "./held-health.ts";
import { LeavingWatch } from "./leaving-watch.ts";
import { Planner } from "./planner.ts";
import type { ConfigView, FleetView, HeldServers, Peers } from "./ports.ts";
import type { SessionKeeper } from "./session-keeper.ts";

const DUTY_INTERVAL_MS = 1000;

/** Options of {@link createLeaderRoles}. */
export interface LeaderRolesOptions
  extends FencingOptions, Pick<EntryDependencies, "random" | "log"> {
  readonly settings: EntrySettings;
  readonly keyValue: KeyValueService;
  readonly config: ConfigView;
  readonly fleet: FleetView;
  readonly held: HeldServers;
  readonly backends: BackendConnector;
  readonly instanceList: InstanceList;
  readonly session: SessionKeeper;
  /** True if tasks fail on the server that succeed elsewhere. */
  readonly isBadServer: (server: string) => boolean;
}

/** The periodic duties of an entry instance; each runs at one entry at a time. */
export interface LeaderRoles {
  readonly planner: Planner;
  readonly support: EntryPlannerSupport;
  readonly all: readonly LeaderRole[];
  /** Reads the instance list while this entry holds no duty that does, until the signal aborts. */
  readonly watchLeavingServers: (signal: AbortSignal) => Promise<void>;
}

/** Builds the planner's duty for the pool group and the reclaim duty for the zone. */
export function createLeaderRoles(options: LeaderRolesOptions): LeaderRoles {
  const { settings, keyValue, peers, isBadServer } = options;
  const { incarnation, zone, group } = peers.self;
  const dutyOptions = { ...options, incarnation };
  // The planner runs its own rounds and asks whether the duty is held.
  const plannerDuty = new LeaderRole({
    ...dutyOptions,
    name: `planner-${group}`,
    intervalMs: DUTY_INTERVAL_MS,
    step: () => Promise.resolve(),
  });
  const fencing = new Fencing(options);
  const leavingWatch = new LeavingWatch(options);
  const reclaimDuty = new LeaderRole({
    ...dutyOptions,
    name: `reclaim-${zone}`,
    intervalMs: RECLAIM_INTERVAL_MS,
    // The loss of one entry must not end both readers of the instance list.
    shouldStepDown: () => plannerDuty.held && hasSubstitute(peers),
    step: async () => {
      await Promise.all([fencing.step(), leavingWatch.step()]);
    },
  });
  const support = new EntryPlannerSupport({ ...options, isLeader: () => plannerDuty.held });
  const planner = new Planner({
    ...options,
    group,
    support,
    store: new KeyValueFleetStore({ keyValue, group }),
    health: new HeldHealth({ ...options, isBad: isBadServer }),
    intervalMs: settings.plannerIntervalMs,
  });
  const watchLeaving = (signal: AbortSignal): Promise<void> =>
    leavingWatch.run(() => !reclaimDuty.held && !plannerDuty.held, signal);
  return { planner, support, all: [plannerDuty, reclaimDuty], watchLeavingServers: watchLeaving };
}

/** True if another entry of the zone could take a duty of the zone. */
function hasSubstitute(peers: Peers): boolean {
  const { zone, group } = peers.self;
  return [...peers.gossip().values()].some(
    ({ hello, message }) =>
      hello.zone === zone &&
      hello.group === group &&
      message.platformReachable &&
      !message.stopping,
  );
}
