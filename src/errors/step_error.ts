/**
 * Errors of communication with other processes. Each error carries the
 * operation that failed and the process that it was addressed to.
 *
 * @module
 */
import VError from "verror";

/** Context of an error besides its cause. */
export interface StepInfo {
  /** The operation that failed, such as `append to log`. */
  step: string;
  /** Address or name of the other process. */
  peer: string;
}

/** Thrown when an operation on another process fails. */
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

  /** Creates an error for a failed operation `step` on `peer`. */
  static create(
    step: string,
    peer: string,
    detail: string,
    cause?: Error,
  ): StepError {
    return new StepError({ step, peer }, cause, detail);
  }
}

/**
 * The message of a thrown value, prefixed with its error code if it has one.
 */
export function errorText(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const { code } = error as NodeJS.ErrnoException;
  return code === undefined ? error.message : `${code}: ${error.message}`;
}
