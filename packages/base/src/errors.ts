/** Error kinds shared by all packages. Each message names the cause and the remedy. */

/** A field of a settings file or environment document that is not valid. */
export interface FieldProblem {
  /** Path of the field, for example `services.0.slots`. */
  readonly path: string;
  /** What was expected there. */
  readonly expected: string;
  /** What the operator can do. */
  readonly remedy: string;
}

/** The input failed its schema. */
export interface InvalidInputError {
  readonly kind: 'invalid-input';
  readonly message: string;
  readonly problems: readonly FieldProblem[];
}

/** A remote service could not be reached or did not answer in time. */
export interface UnavailableError {
  readonly kind: 'unavailable';
  readonly message: string;
  /** Whether the operation may have taken effect although no answer came. */
  readonly mayHaveTakenEffect: boolean;
}

/** A compare-and-set found another revision than expected. */
export interface ConflictError {
  readonly kind: 'conflict';
  readonly message: string;
}

/** The addressed item does not exist. */
export interface NotFoundError {
  readonly kind: 'not-found';
  readonly message: string;
}

/** The remote side refused the operation; nothing took effect. */
export interface RefusedError {
  readonly kind: 'refused';
  readonly message: string;
}

/** The caller's key is missing or wrong. */
export interface UnauthorizedError {
  readonly kind: 'unauthorized';
  readonly message: string;
}

/** Any expected failure in the system. */
export type AppError =
  | InvalidInputError
  | UnavailableError
  | ConflictError
  | NotFoundError
  | RefusedError
  | UnauthorizedError;

/**
 * Creates an error for input that failed its schema.
 * @param subject - Name of the checked file or message.
 * @param problems - Problems found.
 */
export function createInvalidInputError(
  subject: string,
  problems: readonly FieldProblem[],
): InvalidInputError {
  const lines = problems.map(
    problem => `  ${problem.path}: ${problem.expected}; ${problem.remedy}`,
  );
  const message = `${subject} is not valid:\n${lines.join('\n')}`;
  return {kind: 'invalid-input', message, problems};
}

/**
 * Creates an error for an unreachable service.
 * @param message - Cause and remedy.
 * @param mayHaveTakenEffect - Whether the operation may have taken effect.
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
 * Creates an error for a missing item.
 * @param message - Cause and remedy.
 */
export function createNotFoundError(message: string): NotFoundError {
  return {kind: 'not-found', message};
}

/**
 * Creates an error for a refused operation.
 * @param message - Cause and remedy.
 */
export function createRefusedError(message: string): RefusedError {
  return {kind: 'refused', message};
}

/**
 * Creates an error for a missing or wrong key.
 * @param message - Cause and remedy.
 */
export function createUnauthorizedError(message: string): UnauthorizedError {
  return {kind: 'unauthorized', message};
}
