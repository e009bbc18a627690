import test from "ava";
import { overlaySchema } from "../core/declaration/index.ts";
import { entrySettingsSchema } from "./entry_settings.ts";
import { InvalidInput } from "./invalid_input.ts";
import { parseYaml } from "./yaml_file.ts";

const SETTINGS = `vm: v
availabilityZone: z
listen: 127.0.0.1:1
readiness: 127.0.0.1:2
peer: 127.0.0.1:3
admin: 127.0.0.1:4
store: { address: 127.0.0.1:5, memberTimeToLive: 1200 }
`;

/** The message for what `change` makes of the settings. */
function errorOf(from: string, to: string): string {
  const text = SETTINGS.replace(from, to);
  try {
    parseYaml("vm.yaml", text, entrySettingsSchema);
  } catch (error) {
    if (error instanceof InvalidInput) return error.message;
  }
  return "accepted";
}

test("parseYaml: accepts settings and fills in defaults", (t) => {
  t.snapshot(parseYaml("vm.yaml", SETTINGS, entrySettingsSchema).value);
});

test("parseYaml: names file, line, path, what was expected and found", (t) => {
  t.snapshot({
    unknownField: errorOf("vm: v", "vm: v\ncolour: red"),
    wrongType: errorOf("vm: v", "vm: [1, 2]"),
    missing: errorOf("peer: 127.0.0.1:3\n", ""),
    badAddress: errorOf("127.0.0.1:2", "localhost"),
    nested: errorOf("memberTimeToLive: 1200", "memberTimeToLive: soon"),
    brokenYaml: errorOf("vm: v", "vm: { v"),
    twice: errorOf("vm: v", "vm: v\nvm: w"),
  });
});

test("parseYaml: finds the line of a value deep in a file", (t) => {
  const text = `site: s
services:
  stock: { connections: 3 }
routes:
  lookup:
    timeout: soon
`;
  const parse = () => parseYaml("s.yaml", text, overlaySchema);
  const error = t.throws(parse, { any: true }) as Error;
  t.snapshot(error.message);
});
