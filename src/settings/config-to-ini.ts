import { stringify } from "ini";
import type { ConfigDocument } from "../protocol/config-document.ts";
import { configSections } from "../state/config-sections.ts";

/** Writes a stored configuration as a template that `config apply` takes. Keys are left out. */
export function configToIni(document: ConfigDocument): string {
  const head = `; revision ${document.revision}; apply an edit of it with --base ${document.revision}`;
  const body = [...configSections(document)].map(([title, values]) =>
    [`[${title}]`, stringify(values, { whitespace: true }).trimEnd()].join("\n"),
  );
  return [head, ...body].join("\n\n");
}
