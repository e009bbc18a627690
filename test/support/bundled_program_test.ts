/**
 * Weak copies show whether the checks of the soak find what they look for. Both of
 * them had come to name lines that are no longer in the program.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import test from "ava";
import { WEAKNESSES } from "./bundled_program.ts";

for (const [name, { file, sound, weak }] of Object.entries(WEAKNESSES)) {
  test(`weak copies: ${name} changes one place of the program`, (t) => {
    t.is(readFileSync(file, "utf8").split(sound).length, 2);
    t.not(sound, weak);
  });
}
