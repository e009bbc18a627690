/**
 * Exit codes of the command line.
 *
 * @module
 */

/** What a command's end says to the shell. */
export const EXIT = {
  ok: 0,
  /** Something failed that may go well another time. */
  failed: 1,
  /** Input has to be mended first; nothing was changed. */
  invalid: 2,
  /** A publication was refused since another came first. */
  refused: 3,
} as const;
