/** Interface through which a kind of configuration is decoded, checked and compared with the version in force. */

import {Result} from 'neverthrow';
import {AppError} from './errors.js';

/** Kind of a finding; `unreachable` is an entry that can never take effect. */
export type FindingKind = 'error' | 'unreachable' | 'contradiction';

/** Part of a path: the name of a field, the index of an element, or the name of a named element. */
export type PathSegment = string | number | {readonly name: string};

/** Something that is wrong in a configuration. */
export interface Finding {
  readonly kind: FindingKind;
  readonly path: readonly PathSegment[];
  readonly message: string;
}

/** A kind of configuration with decoded values `T`, and the state of a deployment `S` that it is checked against. */
export abstract class ConfigurationFormat<T, S> {
  /** What the files contain, for operators. */
  abstract readonly title: string;

  /**
   * Decodes a file with the schema that the processes use.
   * @param bytes - Content of the file.
   */
  abstract decode(bytes: Buffer): Result<T, AppError>;

  /**
   * Checks a decoded configuration.
   * @param value - Decoded configuration.
   * @param state - State of the deployment; `undefined` if it is not to be considered.
   */
  abstract check(value: T, state: S | undefined): Finding[];

  /** Reads the state of the deployment; changes nothing. */
  abstract readState(): Promise<Result<S, AppError>>;

  /**
   * Gets the configuration in force; `undefined` if there is none.
   * @param state - State of the deployment.
   */
  abstract getInForce(state: S): T | undefined;

  /**
   * Gets the name that a field has in files.
   * @param field - Name of the field in decoded values.
   */
  getFileField(field: string): string {
    return field;
  }
}

/**
 * Renames the fields of a decoded value to those that files have.
 * @param value - Decoded value.
 * @param getFileField - Gets the name that a field has in files.
 */
export function toFileValue(
  value: unknown,
  getFileField: (field: string) => string,
): unknown {
  if (Array.isArray(value)) {
    return value.map(element => toFileValue(element, getFileField));
  }
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).map(([field, content]) => [
    getFileField(field),
    toFileValue(content, getFileField),
  ]);
  return Object.fromEntries(entries) as unknown;
}

/**
 * Renders the location of a value in a file.
 * @param path - Path in decoded values.
 * @param getFileField - Gets the name that a field has in files.
 */
export function renderPath(
  path: readonly PathSegment[],
  getFileField: (field: string) => string,
): string {
  const parts = path.map(segment => {
    if (typeof segment === 'object') return segment.name;
    return typeof segment === 'string' ? getFileField(segment) : `${segment}`;
  });
  return parts.join('.') || '(top level)';
}
