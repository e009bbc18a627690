/**
 * Reads the base file and the overlay of each site.
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

/** Name of the base file in a folder of a declaration. */
export const BASE_FILE = "base.yaml";
/** Folder of the overlays within a folder of a declaration. */
export const OVERLAY_FOLDER = "sites";

/**
 * Reads `base.yaml` and `sites/*.yaml` below `folder`. Throws
 * {@linkcode InvalidInput} that lists every fault.
 */
export function readDeclaration(folder: string): Declaration {
  const base = readYamlFile<Base>(join(folder, BASE_FILE), baseSchema);
  const overlays = overlayFiles(folder).map((file) =>
    readYamlFile<Overlay>(file, overlaySchema)
  );
  const declaration = {
    base: base.value,
    overlays: overlays.map((file) => file.value),
  };
  const faults = checkDeclaration(declaration);
  if (faults.length === 0) return declaration;
  throw InvalidInput.create(faults.map((fault) => {
    const file: YamlFile<unknown> = overlays.findLast((each) =>
      each.value.site === fault.document
    ) ?? base;
    return {
      file: file.file,
      line: file.lineOf(fault.path),
      path: fault.path.join("."),
      message: fault.message,
    };
  }));
}

function overlayFiles(folder: string): string[] {
  const path = join(folder, OVERLAY_FOLDER);
  if (statSync(path, { throwIfNoEntry: false }) === undefined) return [];
  return readdirSync(path)
    .filter((name) => name.endsWith(".yaml"))
    .sort()
    .map((name) => join(path, name));
}
