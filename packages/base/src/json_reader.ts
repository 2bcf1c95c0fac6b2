/** Reads JSON files and validates them against a schema. */

import {isUtf8} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {
  createInvalidInputError,
  FieldProblem,
  InvalidInputError,
  truncateMessage,
} from './errors.js';

/** Maximum number of problems that one error lists. */
const MAX_PROBLEMS = 20;

/** Maximum length of each part of a problem, in characters. */
const MAX_PROBLEM_PART_LENGTH = 300;

/**
 * Creates a schema of an array whose length is checked before its elements, so
 * that the cost of a rejection and the number of problems are bounded.
 * @param element - Schema of the elements.
 * @param maxLength - Maximum number of elements.
 */
export function createBoundedArraySchema<T>(
  element: z.ZodType<T>,
  maxLength: number,
) {
  return z.array(z.unknown()).max(maxLength).pipe(z.array(element));
}

/**
 * Validates a value against a schema.
 * @param subject - Name of the value in error messages.
 * @param schema - Schema to apply.
 * @param value - Value to validate.
 */
export function parseWithSchema<T>(
  subject: string,
  schema: z.ZodType<T>,
  value: unknown,
): Result<T, InvalidInputError> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const problems = parsed.error.issues
    .slice(0, MAX_PROBLEMS)
    .map(toFieldProblem);
  return err(createInvalidInputError(subject, problems));
}

/**
 * Parses JSON text and validates it against a schema.
 * @param subject - Name of the text in error messages.
 * @param schema - Schema to apply.
 * @param text - JSON text.
 */
export function parseJson<T>(
  subject: string,
  schema: z.ZodType<T>,
  text: string,
): Result<T, InvalidInputError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    const problem: FieldProblem = {
      path: '(whole file)',
      expected: `expected JSON text (${(error as Error).message})`,
      remedy: 'correct the JSON syntax',
    };
    return err(createInvalidInputError(subject, [problem]));
  }
  return parseWithSchema(subject, schema, value);
}

/**
 * Parses bytes of another writer as JSON and validates them against a schema.
 * @param subject - Name of the bytes in error messages.
 * @param schema - Schema to apply.
 * @param bytes - JSON text in UTF-8.
 * @param maxBytes - Size above which the bytes are rejected unread.
 */
export function parseJsonBytes<T>(
  subject: string,
  schema: z.ZodType<T>,
  bytes: Buffer,
  maxBytes: number,
): Result<T, InvalidInputError> {
  const problem = findByteProblem(bytes, maxBytes);
  if (problem !== undefined)
    return err(createInvalidInputError(subject, [problem]));
  return parseJson(subject, schema, bytes.toString());
}

function findByteProblem(
  bytes: Buffer,
  maxBytes: number,
): FieldProblem | undefined {
  const path = '(whole value)';
  if (bytes.length > maxBytes) {
    const expected = `expected at most ${maxBytes} bytes, got ${bytes.length}`;
    return {path, expected, remedy: 'shorten the value'};
  }
  if (isUtf8(bytes)) return undefined;
  return {path, expected: 'expected UTF-8 text', remedy: 'encode it as UTF-8'};
}

/** Reads a JSON file and validates it against a schema. */
export function readJsonFile<T>(
  path: string,
  schema: z.ZodType<T>,
): Result<T, InvalidInputError> {
  return readTextFile(path).andThen(text => parseJson(path, schema, text));
}

/** Reads a UTF-8 text file. */
export function readTextFile(path: string): Result<string, InvalidInputError> {
  try {
    return ok(readFileSync(path, 'utf8'));
  } catch (error) {
    const problem: FieldProblem = {
      path: '(whole file)',
      expected: `expected a readable file (${(error as Error).message})`,
      remedy: 'check the path and its permissions',
    };
    return err(createInvalidInputError(path, [problem]));
  }
}

function toFieldProblem(issue: z.core.$ZodIssue): FieldProblem {
  const path = issue.path.map(String).join('.') || '(top level)';
  return {
    path: truncateMessage(path, MAX_PROBLEM_PART_LENGTH),
    expected: truncateMessage(issue.message, MAX_PROBLEM_PART_LENGTH),
    remedy: truncateMessage(getRemedy(issue), MAX_PROBLEM_PART_LENGTH),
  };
}

function getRemedy(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'unrecognized_keys':
      return `remove or correct ${issue.keys.join(', ')}`;
    case 'invalid_type':
      return `give a value of type ${issue.expected}`;
    case 'too_small':
      return `give at least ${issue.minimum}`;
    case 'too_big':
      return `give at most ${issue.maximum}`;
    default:
      return 'see docs/OPERATIONS.md for the allowed values';
  }
}
