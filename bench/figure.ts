/**
 * Figures of a benchmark: one JSON line each.
 *
 * @module
 */

/** One measured value. */
export interface Figure {
  /** What was measured, such as `overhead.throughput`. */
  name: string;
  value: number;
  unit: string;
  /** Under which circumstances. */
  circumstances: Record<string, string | number>;
}

/** Prints a figure. */
export function printFigure(figure: Figure): void {
  const value = Number(figure.value.toPrecision(4));
  process.stdout.write(`${JSON.stringify({ ...figure, value })}\n`);
}

/** The middle one of some values. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}
