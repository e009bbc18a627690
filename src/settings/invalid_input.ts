/**
 * The error that is thrown for invalid input of an operator.
 *
 * @module
 */
import VError from "verror";

/** One invalid value in a file. */
export interface InputIssue {
  file: string;
  /** Line in the file, counted from 1; 0 when unknown. */
  line: number;
  /** Path of the value within the file, such as `services.apothiki.slots`. */
  path: string;
  /** What was expected and what was found. */
  message: string;
}

/** Thrown when settings, a configuration or arguments are invalid. */
export class InvalidInput extends VError {
  private constructor(readonly issues: readonly InputIssue[]) {
    super(
      { name: "InvalidInput", info: { step: "check input" } },
      "%s",
      issues.map(formatIssue).join("\n"),
    );
  }

  /** Creates an error whose message lists all issues, one on each line. */
  static create(issues: readonly InputIssue[]): InvalidInput {
    return new InvalidInput(issues);
  }
}

/**
 * Formats an issue as `FILE:LINE: PATH: MESSAGE`, which editors can jump to.
 */
export function formatIssue({ file, line, path, message }: InputIssue): string {
  const location = line > 0 ? `${file}:${line}` : file;
  return path === ""
    ? `${location}: ${message}`
    : `${location}: ${path}: ${message}`;
}
