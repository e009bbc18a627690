/**
 * Errors towards other processes: each carries the step and the peer at which it arose.
 *
 * @module
 */
import VError from "verror";

/** What an error carries besides its cause. */
export interface StepInfo {
  /** What was being done, such as `append to log`. */
  step: string;
  /** Address or name of the other side. */
  peer: string;
}

/** Raised when a step towards a peer fails. */
export class StepError extends VError {
  protected constructor(
    readonly info: StepInfo,
    cause: Error | undefined,
    detail: string,
  ) {
    super(
      { name: "StepError", cause, info },
      "%s at %s: %s",
      info.step,
      info.peer,
      detail,
    );
  }

  /** An error at `step` towards `peer`. */
  static create(
    step: string,
    peer: string,
    detail: string,
    cause?: Error,
  ): StepError {
    return new StepError({ step, peer }, cause, detail);
  }
}

/** The text of anything that was thrown. */
export function errorText(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const { code } = error as NodeJS.ErrnoException;
  return code === undefined ? error.message : `${code}: ${error.message}`;
}
