import test from "ava";
import { mkdirSync, mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { siteConfiguration } from "../core/declaration/index.ts";
import { readDeclaration } from "./declaration_files.ts";

const BASE = `cluster: c
services:
  stock: { keyed: true }
routes:
  lookup: { host: h.example, path: /stock/, to: stock }
`;

/**
 * Returns the error message for a folder with this overlay, without the
 * folder's path.
 */
function readMessage(overlay: string, base = BASE): string {
  const folder = mkdtempSync(join(tmpdir(), "plumloft-declaration-"));
  mkdirSync(join(folder, "sites"));
  writeFileSync(join(folder, "base.yaml"), base);
  writeFileSync(join(folder, "sites", "s.yaml"), overlay);
  try {
    readDeclaration(folder);
    return "accepted";
  } catch (error) {
    return (error as Error).message.replaceAll(`${folder}/`, "");
  }
}

test("readDeclaration: reports issues that span files", (t) => {
  t.snapshot({
    sound: readMessage("site: s\n"),
    unknownService: readMessage(
      "site: s\nservices:\n  stok: { connections: 3 }\n",
    ),
    unknownRoute: readMessage("site: s\nroutes:\n  look: { timeout: 3 }\n"),
    unknownTarget: readMessage("site: s\nroutes:\n  lookup: { to: stok }\n"),
    unknownField: readMessage("site: s\n", `${BASE}colour: red\n`),
  });
});

test("readDeclaration: reports a folder without a base file", (t) => {
  t.throws(() => readDeclaration("no-such-folder"), {
    any: true,
    message: /^no-such-folder\/base.yaml: expected a readable file/,
  });
});

for (
  const [example, site] of [["co-operative", "thessalia"], [
    "lektorat",
    "osrednja",
  ]]
) {
  test(`readDeclaration: accepts the example ${example}`, (t) => {
    const declaration = readDeclaration(`examples/${example}`);
    t.snapshot(siteConfiguration(declaration, site, 1));
  });
}
