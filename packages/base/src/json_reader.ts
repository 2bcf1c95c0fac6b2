/** Reads JSON files and validates them against a schema. */

import {readFileSync} from 'node:fs';
import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {
  createInvalidInputError,
  FieldProblem,
  InvalidInputError,
} from './errors.js';

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
  const problems = parsed.error.issues.map(toFieldProblem);
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
  return {path, expected: issue.message, remedy: getRemedy(issue)};
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
