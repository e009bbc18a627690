/**
 * The error for input that an operator has to mend.
 *
 * @module
 */
import VError from "verror";

/** One thing that is wrong with a file. */
export interface InputIssue {
  file: string;
  /** Line in the file, counted from 1; 0 when unknown. */
  line: number;
  /** Path of the value within the file, such as `services.apothiki.slots`. */
  path: string;
  /** What was expected and what was found. */
  message: string;
}

/** Raised when settings, configuration or arguments cannot be used. */
export class InvalidInput extends VError {
  private constructor(readonly issues: readonly InputIssue[]) {
    super(
      { name: "InvalidInput", info: { step: "check input" } },
      "%s",
      issues.map(formatIssue).join("\n"),
    );
  }

  /** An error that lists all issues, one on each line. */
  static create(issues: readonly InputIssue[]): InvalidInput {
    return new InvalidInput(issues);
  }
}

/** An issue as a line that editors can jump to. */
export function formatIssue({ file, line, path, message }: InputIssue): string {
  const where = line > 0 ? `${file}:${line}` : file;
  return path === "" ? `${where}: ${message}` : `${where}: ${path}: ${message}`;
}
