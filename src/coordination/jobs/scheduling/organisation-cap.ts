import type { Resources } from "../../../protocol/job-spec.ts";
import type { RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import { withinCap } from "../../../state/jobs/scheduling/resources.ts";
import type { FleetConfigView } from "../config-view.ts";

/** Sources of {@link withinOrganisationCap}. */
export interface OrganisationUse {
  readonly config: FleetConfigView;
  readonly runRegistry: RunRegistry;
}

/** True if an organisation stays within its cap when it uses `more`; true without an organisation. */
export function withinOrganisationCap(
  organisation: string | undefined,
  more: Resources,
  { config, runRegistry }: OrganisationUse,
): boolean {
  const settings = organisation === undefined ? undefined : config.organisation(organisation);
  if (organisation === undefined || settings === undefined) return true;
  return withinCap(runRegistry.usedByOrganisation(organisation), more, settings.cap);
}
