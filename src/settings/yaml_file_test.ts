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

/** Returns the error message for the settings with `from` replaced by `to`. */
function parseMessage(from: string, to: string): string {
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

test("parseYaml: reports file, line and path, the expected and the found value", (t) => {
  t.snapshot({
    unknownField: parseMessage("vm: v", "vm: v\ncolour: red"),
    wrongType: parseMessage("vm: v", "vm: [1, 2]"),
    missing: parseMessage("peer: 127.0.0.1:3\n", ""),
    badAddress: parseMessage("127.0.0.1:2", "localhost"),
    nested: parseMessage("memberTimeToLive: 1200", "memberTimeToLive: soon"),
    brokenYaml: parseMessage("vm: v", "vm: { v"),
    twice: parseMessage("vm: v", "vm: v\nvm: w"),
  });
});

test("parseYaml: reports the line of a nested value", (t) => {
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
