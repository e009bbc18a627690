import test from "ava";
import { mkdirSync, mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { readConfiguration } from "./configuration_files.ts";

const BASE = `cluster: c
services:
  stock:
    key: { header: x-key }
`;

/** The message for a folder with that overlay, without the folder's name. */
function messageFor(overlay: string, base = BASE): string {
  const folder = mkdtempSync(join(tmpdir(), "plumloft-configuration-"));
  mkdirSync(join(folder, "sites"));
  writeFileSync(join(folder, "base.yaml"), base);
  writeFileSync(join(folder, "sites", "s.yaml"), overlay);
  try {
    readConfiguration(folder);
    return "accepted";
  } catch (error) {
    return (error as Error).message.replaceAll(`${folder}/`, "");
  }
}

const overlay = (service: string, servers: string) =>
  `site: s
availabilityZones: [north, south]
services:
  ${service}:
    backendServers:
${servers}`;

const server = (id: string, zone: string) =>
  `      - { id: ${id}, address: 127.0.0.1:9, availabilityZone: ${zone} }\n`;

test("readConfiguration: reports faults that span files", (t) => {
  t.snapshot({
    sound: messageFor(overlay("stock", server("a", "north"))),
    unknownService: messageFor(overlay("stok", server("a", "north"))),
    sameId: messageFor(
      overlay("stock", server("a", "north") + server("a", "south")),
    ),
    unknownZone: messageFor(overlay("stock", server("a", "west"))),
    unknownField: messageFor(overlay("stock", ""), `${BASE}    colour: red\n`),
  });
});

test("readConfiguration: reports a folder without a base file", (t) => {
  t.throws(() => readConfiguration("no-such-folder"), {
    any: true,
    message: /^no-such-folder\/base.yaml: expected a readable file/,
  });
});

for (const example of ["co-operative", "lektorat"]) {
  test(`readConfiguration: accepts the example ${example}`, (t) => {
    const { base, overlays } = readConfiguration(`examples/${example}`);
    t.snapshot({
      services: Object.keys(base.services),
      servers: overlays.map((each) =>
        Object.values(each.services).map((service) =>
          service.backendServers.length
        )
      ),
    });
  });
}
