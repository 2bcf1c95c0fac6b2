/** Error types shared by all packages. Each message states the cause and the remedy. */

/** Validation error for one field of a settings file or environment document. */
export interface FieldProblem {
  /** Path of the field, for example `services.0.slots`. */
  readonly path: string;
  /** Constraint that the value violates. */
  readonly expected: string;
  /** Corrective action for the operator. */
  readonly remedy: string;
}

/** The input failed schema validation. */
export interface InvalidInputError {
  readonly kind: 'invalid-input';
  readonly message: string;
  readonly problems: readonly FieldProblem[];
}

/** A remote service could not be reached or timed out. */
export interface UnavailableError {
  readonly kind: 'unavailable';
  readonly message: string;
  /** Whether the operation may have taken effect although no response was received. */
  readonly mayHaveTakenEffect: boolean;
}

/** A compare-and-set failed because the stored revision differs from the expected one. */
export interface ConflictError {
  readonly kind: 'conflict';
  readonly message: string;
}

/** The addressed item does not exist. */
export interface NotFoundError {
  readonly kind: 'not-found';
  readonly message: string;
}

/** The remote side rejected the operation, which had no effect. */
export interface RefusedError {
  readonly kind: 'refused';
  readonly message: string;
}

/** The caller's key is missing or invalid. */
export interface UnauthorizedError {
  readonly kind: 'unauthorized';
  readonly message: string;
}

/** Union of all expected failures. */
export type AppError =
  | InvalidInputError
  | UnavailableError
  | ConflictError
  | NotFoundError
  | RefusedError
  | UnauthorizedError;

/**
 * Maximum length of the message about invalid input, in characters. Another
 * writer determines the number of problems, and the names of fields.
 */
export const MAX_ERROR_MESSAGE_LENGTH = 2_000;

/** Appended to a message that was shortened. */
const TRUNCATION_MARK = ' ... (shortened)';

/**
 * Shortens a text from another writer for an error message or an event.
 * @param text - Text of any length.
 * @param maxLength - Maximum length of the result, in characters.
 */
export function truncateMessage(
  text: string,
  maxLength = MAX_ERROR_MESSAGE_LENGTH,
): string {
  if (text.length <= maxLength) return text;
  return text.slice(0, maxLength - TRUNCATION_MARK.length) + TRUNCATION_MARK;
}

/**
 * Creates an error for input that failed schema validation.
 * @param subject - Name of the validated file or message, for the error message.
 * @param problems - Validation errors, one per field.
 */
export function createInvalidInputError(
  subject: string,
  problems: readonly FieldProblem[],
): InvalidInputError {
  const lines = problems.map(
    problem => `  ${problem.path}: ${problem.expected}; ${problem.remedy}`,
  );
  const message = truncateMessage(
    `${subject} is not valid:\n${lines.join('\n')}`,
  );
  return {kind: 'invalid-input', message, problems};
}

/**
 * Creates an error for a service that could not be reached or timed out.
 * @param message - Cause and remedy.
 * @param mayHaveTakenEffect - Whether the operation may have taken effect nevertheless.
 */
export function createUnavailableError(
  message: string,
  mayHaveTakenEffect: boolean,
): UnavailableError {
  return {kind: 'unavailable', message, mayHaveTakenEffect};
}

/**
 * Creates an error for a failed compare-and-set.
 * @param message - Cause and remedy.
 */
export function createConflictError(message: string): ConflictError {
  return {kind: 'conflict', message};
}

/**
 * Creates an error for an item that does not exist.
 * @param message - Cause and remedy.
 */
export function createNotFoundError(message: string): NotFoundError {
  return {kind: 'not-found', message};
}

/**
 * Creates an error for a rejected operation that had no effect.
 * @param message - Cause and remedy.
 */
export function createRefusedError(message: string): RefusedError {
  return {kind: 'refused', message};
}

/**
 * Creates an error for a missing or invalid key.
 * @param message - Cause and remedy.
 */
export function createUnauthorizedError(message: string): UnauthorizedError {
  return {kind: 'unauthorized', message};
}
