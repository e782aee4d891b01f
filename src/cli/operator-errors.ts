import type { OperatorError } from "../coordination/operator-actions.ts";
import { suggestion } from "../settings/settings-problem.ts";
import { formatChange } from "../state/config-diff.ts";

/** Describes why an operator's action failed and what the operator can do. */
export function explainError(err: OperatorError): readonly string[] {
  switch (err.kind) {
    case "conflict":
      return explainConflict(err);
    case "no-config":
      return ["no configuration is stored yet; store one with: teaselspool config apply FILE"];
    case "unknown-team":
      return [`no team "${err.team}" in the configuration; ${suggestion(err.team, err.teams)}`];
    case "unknown-key":
      return [`the team has no key "${err.keyId}"; ${suggestion(err.keyId, err.keyIds)}`];
    case "unknown":
      return [
        `outcome unknown (${err.detail}): the change may be in effect, or come into effect later`,
        `compare writeId ${err.writeId} with: teaselspool config show --json`,
      ];
    case "malformed":
      return [`the stored configuration is malformed: ${err.detail}`];
    case "unavailable":
      return [`nothing was changed: ${err.detail}`];
  }
}

function explainConflict(
  err: Extract<OperatorError, { readonly kind: "conflict" }>,
): readonly string[] {
  const summary = `conflict: the configuration is at revision ${err.currentRevision}, the edit was made from revision ${err.baseRevision}; nothing was changed`;
  if (err.changes === undefined)
    return [summary, `revision ${err.baseRevision} is no longer stored`];
  return [
    summary,
    "changes made since then:",
    ...err.changes.map((change) => `  ${formatChange(change)}`),
    `add these changes to your template and apply it again with: --base ${err.currentRevision}`,
  ];
}
