/**
 * Exit codes of the command line.
 *
 * @module
 */

/** Exit codes by result of a command. */
export const EXIT_CODE = {
  ok: 0,
  /** The command failed; it may succeed when run again. */
  failed: 1,
  /** The input is invalid; nothing was changed. */
  invalid: 2,
  /** Not used: a rejected publication ends with `failed`. */
  refused: 3,
} as const;
