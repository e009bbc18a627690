/**
 * Results of the benchmarks, printed as one JSON line each.
 *
 * @module
 */

/** One measured value and the conditions under which it was measured. */
export interface Measurement {
  name: string;
  value: number;
  unit: string;
  conditions: Record<string, string | number>;
}

/** Prints a measurement, rounded to four significant digits. */
export function printMeasurement(measurement: Measurement): void {
  const value = Number(measurement.value.toPrecision(4));
  process.stdout.write(`${JSON.stringify({ ...measurement, value })}\n`);
}
