/**
 * Guards against mutations whose original line is no longer in the program. Such a
 * mutation changes nothing, so it can't show that the checks of the soak test detect it.
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
