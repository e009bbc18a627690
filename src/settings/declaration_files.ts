/**
 * Reads a declaration: the base file and the overlay file of each site.
 *
 * @module
 */
import { readdirSync, statSync } from "node:fs";
import { join } from "node:path";
import {
  type Base,
  baseSchema,
  checkDeclaration,
  type Declaration,
  type Overlay,
  overlaySchema,
} from "../core/declaration/index.ts";
import { InvalidInput } from "./invalid_input.ts";
import { readYamlFile, type YamlFile } from "./yaml_file.ts";

/** Name of the base file within a declaration folder. */
export const BASE_FILE = "base.yaml";
/** Folder of the overlay files within a declaration folder. */
export const OVERLAY_FOLDER = "sites";

/**
 * Reads and checks `base.yaml` and `sites/*.yaml` in `folder`. Throws an
 * {@linkcode InvalidInput} that lists all issues.
 */
export function readDeclaration(folder: string): Declaration {
  const base = readYamlFile<Base>(join(folder, BASE_FILE), baseSchema);
  const overlays = listOverlayFiles(folder).map((file) =>
    readYamlFile<Overlay>(file, overlaySchema)
  );
  const declaration = {
    base: base.value,
    overlays: overlays.map((file) => file.value),
  };
  const issues = checkDeclaration(declaration);
  if (issues.length === 0) return declaration;
  throw InvalidInput.create(issues.map((issue) => {
    const file: YamlFile<unknown> = overlays.findLast((overlay) =>
      overlay.value.site === issue.document
    ) ?? base;
    return {
      file: file.file,
      line: file.lineOf(issue.path),
      path: issue.path.join("."),
      message: issue.message,
    };
  }));
}

function listOverlayFiles(folder: string): string[] {
  const path = join(folder, OVERLAY_FOLDER);
  if (statSync(path, { throwIfNoEntry: false }) === undefined) return [];
  return readdirSync(path)
    .filter((name) => name.endsWith(".yaml"))
    .sort()
    .map((name) => join(path, name));
}
