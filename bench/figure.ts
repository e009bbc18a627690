/**
 * Figures of the benchmarks: one JSON line each.
 *
 * @module
 */

/** One measured figure with what it was measured under. */
export interface Figure {
  name: string;
  value: number;
  unit: string;
  conditions: Record<string, string | number>;
}

/** Prints a figure. */
export function printFigure(figure: Figure): void {
  const value = Number(figure.value.toPrecision(4));
  process.stdout.write(`${JSON.stringify({ ...figure, value })}\n`);
}
