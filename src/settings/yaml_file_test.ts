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

// An operator must see the allowed range, not only the bound that was missed.
test("parseYaml: reports the range of limits on memory and responses", (t) => {
  const message = (section: string) =>
    parseMessage("vm: v", `vm: v\n${section}`);
  t.is(
    message("memory: { processMegabytes: 63 }"),
    "vm.yaml:2: memory.processMegabytes: " +
      "expected a number from 64 to 65536, found 63",
  );
  t.is(
    message("memory: { heldShare: 0.9 }"),
    "vm.yaml:2: memory.heldShare: " +
      "expected a number from 0.05 to 0.8, found 0.9",
  );
  for (
    const section of [
      "memory: { processMegabytes: 65537 }",
      "memory: { heldShare: 0.04 }",
      "memory: { connectionKilobytes: 63 }",
      "memory: { connectionKilobytes: 1048577 }",
      "responses: { maximumHeadKilobytes: 0 }",
      "responses: { maximumHeadKilobytes: 1025 }",
      "responses: { maximumBodyMegabytes: 0.5 }",
      "responses: { maximumBodyMegabytes: 1025 }",
    ]
  ) {
    t.regex(message(section), /expected a number from [\d.]+ to \d/);
  }
  t.is(message("memory: { processMegabytes: 64, heldShare: 0.8 }"), "accepted");
  t.is(message("responses: { maximumHeadKilobytes: 1024 }"), "accepted");
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
