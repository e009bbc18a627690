/**
 * Guards against mutations whose original line is no longer in the program, as
 * happened to both. Such a mutation changes nothing, so a soak test with it
 * does not show whether the checks detect the fault.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import test from "ava";
import { MUTATIONS } from "./bundled_program.ts";

for (const [name, { file, from, to }] of Object.entries(MUTATIONS)) {
  test(`mutations: ${name} changes exactly one place of the program`, (t) => {
    t.is(readFileSync(file, "utf8").split(from).length, 2);
    t.not(from, to);
  });
}
