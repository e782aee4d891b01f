/** Configurations as the operator writes them, with the fields that `fleetbench wire` shows. */

/** Host of all queues. */
export const HOST = "pule25.example";

/** One queue of a configuration. */
export interface RouteOptions {
  readonly name: string;
  readonly prefix: string;
  readonly service: string;
  readonly maxAttempts?: number;
  readonly allowAnonymous?: boolean;
  /** 0 comes first. */
  readonly priority?: number;
}

/** Fields of a route, with defaults. */
export function route({
  name,
  prefix,
  service,
  maxAttempts = 3,
  allowAnonymous = true,
  priority = 0,
}: RouteOptions): object {
  return {
    ...{ name, host: HOST, prefix, kind: "unsafe", timeoutMs: 3000, targetLatencyMs: 600 },
    ...{ priority, service, maxAttempts, stretch: 1.6, allowAnonymous },
  };
}

/** A whole configuration. */
export function configuration(
  version: number,
  routes: readonly RouteOptions[],
  tenants: readonly object[] = [],
  spare: readonly string[] = [],
): object {
  const services = [...new Set(routes.map(({ service }) => service))];
  return {
    ...{ version, routes: routes.map(route), tenants },
    services: [
      ...services.map((name) => ({ name, admissionCheck: false, spare: false })),
      ...spare.map((name) => ({ name, admissionCheck: false, spare: true })),
    ],
    limits: { maxBodyBytes: 262_144 },
  };
}
