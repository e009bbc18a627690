/**
 * Brings about the failures one after the other and prints a table.
 *
 * Arguments: parts of the names of the scenarios to run; all without any.
 *
 * @module
 */
import { type Outcome, runScenario } from "./experiment.ts";
import { SCENARIOS } from "./scenarios.ts";

/** A column of the table. */
interface Column {
  title: string;
  width: number;
  value(outcome: Outcome): string | number;
}

const COLUMNS: readonly Column[] = [
  { title: "failure", width: 42, value: (each) => each.name },
  { title: "sent", width: 7, value: (each) => each.sent },
  { title: "served", width: 7, value: (each) => each.served },
  { title: "not run", width: 8, value: (each) => each.notRun },
  { title: "unknown", width: 8, value: (each) => each.unknown },
  { title: "lost", width: 5, value: (each) => each.lost },
  { title: "doubled", width: 8, value: (each) => each.doubled },
  { title: "crossed", width: 8, value: (each) => each.crossed },
  { title: "gap ms", width: 7, value: (each) => each.longestGap },
];

async function main(parts: readonly string[]): Promise<void> {
  const chosen = SCENARIOS.filter(({ name }) =>
    parts.length === 0 || parts.some((part) => name.includes(part))
  );
  printRow(COLUMNS.map(({ title }) => title));
  for (const scenario of chosen) {
    const outcome = await runScenario(scenario);
    printRow(COLUMNS.map(({ value }) => String(value(outcome))));
    for (const { name, breaches } of outcome.breaches) {
      process.stdout.write(`  ${name}: ${breaches.slice(0, 3).join("; ")}\n`);
      process.exitCode = 1;
    }
  }
}

function printRow(cells: readonly string[]): void {
  const row = cells.map((cell, index) =>
    index === 0
      ? cell.padEnd(COLUMNS[index].width)
      : cell.padStart(COLUMNS[index].width)
  ).join(" ");
  process.stdout.write(`${row.trimEnd()}\n`);
}

void main(process.argv.slice(2));
