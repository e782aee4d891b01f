import type { BackendConnector } from "../ports/backend-server.ts";
import type { InstanceList } from "../ports/instance-list.ts";
import type { KeyValueService } from "../ports/key-value-service.ts";
import type { EntrySettings } from "../settings/entry-settings.ts";
import { LeaderRole } from "./leader-role.ts";
import type { EntryDependencies } from "./entry-dependencies.ts";
import { EntryPlannerSupport } from "./entry-planner-support.ts";
import { Fencing, RECLAIM_INTERVAL_MS, type FencingOptions } from "./fencing.ts";
import { KeyValueFleetStore } from "./fleet-store.ts";
import { LeaseBasedHealth } from "./lease-based-health.ts";
import { LeavingServerMonitor } from "./leaving-server-monitor.ts";
import { Planner } from "./planner.ts";
import type { ConfigView, FleetView, HeldServers, Peers } from "./ports.ts";
import type { SessionKeeper } from "./session-keeper.ts";

const PLANNER_ROLE_INTERVAL_MS = 1000;

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
  /** True if a server held by this entry is on probation and keeps failing. */
  readonly isBadServer: (server: string) => boolean;
}

/** Leader roles of an entry instance. Each role is active in one entry at a time. */
export interface LeaderRoles {
  readonly planner: Planner;
  readonly support: EntryPlannerSupport;
  readonly all: readonly LeaderRole[];
  /**
   * Reads the instance list for leaving servers while this entry holds no role that reads the list.
   * Runs until the signal aborts.
   */
  readonly watchLeavingServers: (signal: AbortSignal) => Promise<void>;
}

/** Creates the planner role of the pool group and the reclaim role of the availability zone. */
export function createLeaderRoles(options: LeaderRolesOptions): LeaderRoles {
  const { settings, keyValue, peers, isBadServer } = options;
  const { incarnation, zone, group } = peers.self;
  const roleOptions = { ...options, incarnation };
  // No step: the planner runs its own rounds and checks in each whether it is the leader.
  const plannerRole = new LeaderRole({
    ...roleOptions,
    name: `planner-${group}`,
    intervalMs: PLANNER_ROLE_INTERVAL_MS,
    step: () => Promise.resolve(),
  });
  const fencing = new Fencing(options);
  const leavingServerMonitor = new LeavingServerMonitor(options);
  const reclaimRole = new LeaderRole({
    ...roleOptions,
    name: `reclaim-${zone}`,
    intervalMs: RECLAIM_INTERVAL_MS,
    // Both roles read the instance list. The loss of one entry must not stop both readers.
    shouldStepDown: () => plannerRole.isLeader && hasSubstitute(peers),
    step: async () => {
      await Promise.all([fencing.step(), leavingServerMonitor.step()]);
    },
  });
  const support = new EntryPlannerSupport({ ...options, isLeader: () => plannerRole.isLeader });
  const planner = new Planner({
    ...options,
    group,
    support,
    store: new KeyValueFleetStore({ keyValue, group }),
    health: new LeaseBasedHealth({ ...options, isFaulty: isBadServer }),
    intervalMs: settings.plannerIntervalMs,
  });
  const watchLeavingServers = (signal: AbortSignal): Promise<void> =>
    leavingServerMonitor.run(() => !reclaimRole.isLeader && !plannerRole.isLeader, signal);
  return { planner, support, all: [plannerRole, reclaimRole], watchLeavingServers };
}

/** True if another entry of the zone could take over the zone's reclaim role. */
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
