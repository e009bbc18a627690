import test from "ava";
import { overlaySchema } from "../core/configuration/index.ts";
import { InvalidInput } from "./invalid_input.ts";
import { vmSettingsSchema } from "./vm_settings.ts";
import { parseYaml } from "./yaml_file.ts";

const SETTINGS = `cluster: c
site: s
vm: v
availabilityZone: z
listen: 127.0.0.1:1
admin: 127.0.0.1:2
peer: 127.0.0.1:3
log: { url: "http://127.0.0.1:4" }
vmList: { url: "http://127.0.0.1:5" }
`;

/** The message for the first line that `change` makes of the settings. */
function errorOf(from: string, to: string): string {
  const text = SETTINGS.replace(from, to);
  try {
    parseYaml("vm.yaml", text, vmSettingsSchema);
  } catch (error) {
    if (error instanceof InvalidInput) return error.message;
  }
  return "accepted";
}

test("parseYaml: accepts settings and fills in defaults", (t) => {
  t.snapshot(parseYaml("vm.yaml", SETTINGS, vmSettingsSchema).value);
});

test("parseYaml: names file, line, path, what was expected and found", (t) => {
  t.snapshot({
    unknownField: errorOf("site: s", "site: s\ncolour: red"),
    wrongType: errorOf("vm: v", "vm: [1, 2]"),
    missing: errorOf("peer: 127.0.0.1:3\n", ""),
    badAddress: errorOf("127.0.0.1:2", "localhost"),
    nested: errorOf('5" }', '5", interval: soon }'),
    brokenYaml: errorOf("vm: v", "vm: { v"),
    twice: errorOf("vm: v", "vm: v\nvm: w"),
  });
});

test("parseYaml: finds the line of a value deep in a file", (t) => {
  const text = `site: s
availabilityZones: [z]
services:
  stock:
    backendServers:
      - { id: a, address: 127.0.0.1:1, availabilityZone: z }
      - { id: b, address: nowhere, availabilityZone: z }
`;
  const parse = () => parseYaml("s.yaml", text, overlaySchema);
  const error = t.throws(parse, { any: true }) as Error;
  t.snapshot(error.message);
});
