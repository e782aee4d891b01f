import { stringify } from "ini";
import type { ConfigDocument } from "../protocol/config-document.ts";
import { configSections } from "../state/config-sections.ts";

/** Formats a stored configuration as a template for `config apply`. API keys are left out. */
export function configToIni(document: ConfigDocument): string {
  const header = `; revision ${document.revision}; apply an edit of it with --base ${document.revision}`;
  const body = [...configSections(document)].map(([title, values]) =>
    [`[${title}]`, stringify(values, { whitespace: true }).trimEnd()].join("\n"),
  );
  return [header, ...body].join("\n\n");
}
