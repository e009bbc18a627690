/**
 * Reads YAML files and validates them with a schema. Each issue is reported
 * with its file, line and path, the expected value and the value found.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { isCollection, isScalar, LineCounter, parseDocument } from "yaml";
import type { Document, Node } from "yaml";
import type { z } from "zod";
import { type InputIssue, InvalidInput } from "./invalid_input.ts";

/** The value of a validated file, and the lines of its parts. */
export interface YamlFile<T> {
  file: string;
  value: T;
  /** Returns the line of the part at `path`, counted from 1; 0 when unknown. */
  lineOf(path: readonly (string | number)[]): number;
}

/** Reads and validates a file; throws {@linkcode InvalidInput}. */
export function readYamlFile<T>(
  file: string,
  schema: z.ZodType<T>,
): YamlFile<T> {
  return parseYaml(file, readFileText(file), schema);
}

/** Parses and validates the text of a file; throws {@linkcode InvalidInput}. */
export function parseYaml<T>(
  file: string,
  text: string,
  schema: z.ZodType<T>,
): YamlFile<T> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter });
  if (document.errors.length > 0) {
    throw InvalidInput.create(document.errors.map((error) => ({
      file,
      line: lineCounter.linePos(error.pos[0]).line,
      path: "",
      message: `expected YAML, found: ${error.message.split("\n")[0]}`,
    })));
  }
  const lineOf = (path: readonly (string | number)[]) =>
    findLine(document, lineCounter, path);
  const found: unknown = document.toJS();
  const parsed = schema.safeParse(found);
  if (parsed.success) return { file, value: parsed.data, lineOf };
  throw InvalidInput.create(
    parsed.error.issues.flatMap((issue) =>
      toInputIssues(file, issue, found, lineOf)
    ),
  );
}

function readFileText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    throw InvalidInput.create([{
      file,
      line: 0,
      path: "",
      message: `expected a readable file, found: ${code}`,
    }]);
  }
}

function toInputIssues(
  file: string,
  issue: z.core.$ZodIssue,
  found: unknown,
  lineOf: (path: readonly (string | number)[]) => number,
): InputIssue[] {
  const path = issue.path.map((part) => part as string | number);
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => ({
      file,
      line: lineOf([...path, key]),
      path: [...path, key].join("."),
      message: "expected a known field, found an unknown one",
    }));
  }
  const value = findValue(found, path);
  return [{
    file,
    line: lineOf(path),
    path: path.join("."),
    message: `expected ${describeExpectation(issue)}, found ${
      formatValue(value)
    }`,
  }];
}

function describeExpectation(issue: z.core.$ZodIssue): string {
  if (issue.code === "invalid_type") return issue.expected;
  if (issue.code === "invalid_value") return issue.values.join(" or ");
  if (issue.code === "too_small") return `at least ${issue.minimum}`;
  if (issue.code === "too_big") return `at most ${issue.maximum}`;
  return issue.message;
}

function findValue(
  value: unknown,
  path: readonly (string | number)[],
): unknown {
  return path.reduce<unknown>(
    (parent, part) =>
      typeof parent === "object" && parent !== null
        ? (parent as Record<string | number, unknown>)[part]
        : undefined,
    value,
  );
}

function formatValue(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = JSON.stringify(value);
  return text.length > 60 ? `${text.slice(0, 57)}...` : text;
}

/**
 * Returns the line of the value at `path`, or of its closest ancestor that
 * exists.
 */
function findLine(
  document: Document,
  lineCounter: LineCounter,
  path: readonly (string | number)[],
): number {
  for (let length = path.length; length >= 0; length--) {
    const node = findNode(document, path.slice(0, length));
    const start = node?.range?.[0];
    if (start !== undefined) return lineCounter.linePos(start).line;
  }
  return 0;
}

function findNode(
  document: Document,
  path: readonly (string | number)[],
): Node | undefined {
  const { contents } = document;
  if (path.length === 0) return contents ?? undefined;
  const found = isCollection(contents) ? contents.getIn(path, true) : undefined;
  return isScalar(found) || isCollection(found) ? found : undefined;
}
