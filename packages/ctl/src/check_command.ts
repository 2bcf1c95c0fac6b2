/** Command `check`: findings in a configuration file, and its differences from the version in force. */

import {isUtf8} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {pathToFileURL} from 'node:url';
import {resolve} from 'node:path';
import {err, ok, Result} from 'neverthrow';
import {
  ConfigurationFormat,
  FindingKind,
  renderPath,
  toFileValue,
} from '@mustardlug/base/configuration_format';
import {AppError, createInvalidInputError} from '@mustardlug/base/errors';
import {getDifferences} from '@mustardlug/base/value_differences';
import {EXIT_STATUS} from '@mustardlug/runtime/program';
import {CommandOutput} from './document_commands.js';

/** A finding as printed, with its location in the file. */
interface PrintedFinding {
  readonly kind: FindingKind;
  readonly path: string;
  readonly message: string;
}

/** A difference as printed. */
interface PrintedDifference {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** What a check found. */
interface CheckReport {
  readonly format: string;
  readonly findings: readonly PrintedFinding[];
  /** Absent if the file was not compared. */
  readonly differences?: readonly PrintedDifference[];
  /** Why the file was not compared, if that was asked for. */
  readonly comparisonError?: string;
}

/** Longest value that is printed of a difference; `--json` prints all. */
const MAX_VALUE_LENGTH = 100;

/**
 * Checks a file. Changes nothing.
 * @param format - Format of the file.
 * @param path - Path of the file.
 * @param isOffline - Whether to leave out the comparison with the deployment.
 * @returns `invalid-input` if the file is not readable as JSON.
 */
export async function checkFile<T, S>(
  format: ConfigurationFormat<T, S>,
  path: string,
  isOffline: boolean,
): Promise<Result<CommandOutput, AppError>> {
  const bytes = readJsonBytes(path);
  if (bytes.isErr()) return err(bytes.error);
  const decoded = format.decode(bytes.value);
  if (decoded.isErr()) {
    return decoded.error.kind === 'invalid-input'
      ? ok(createOutput(path, createErrorReport(format.title, decoded.error)))
      : err(decoded.error);
  }
  const state = isOffline ? undefined : await format.readState();
  const known = state?.isOk() ? state.value : undefined;
  const getFileField = (field: string) => format.getFileField(field);
  const findings = format
    .check(decoded.value, known)
    .map(({kind, path: location, message}) => {
      return {kind, path: renderPath(location, getFileField), message};
    });
  const report: CheckReport = {format: format.title, findings};
  if (state?.isErr()) {
    const comparisonError = state.error.message;
    return ok(createOutput(path, {...report, comparisonError}));
  }
  const inForce = known === undefined ? undefined : format.getInForce(known);
  if (inForce === undefined) return ok(createOutput(path, report));
  const differences = getDifferences(inForce, decoded.value).map(
    ({path: location, before, after}) => {
      return {
        path: renderPath(location, getFileField),
        before: toFileValue(before, getFileField),
        after: toFileValue(after, getFileField),
      };
    },
  );
  return ok(createOutput(path, {...report, differences}));
}

/** Creates the format that a module provides. */
export type FormatFactory = (
  settingsPath: string,
) => ConfigurationFormat<unknown, unknown>;

/**
 * Loads a format that is not part of this tool.
 * @param modulePath - Path of a module that exports `createFormat`.
 * @param settingsPath - Settings file that the format reads when it compares.
 */
export async function loadFormat(
  modulePath: string,
  settingsPath: string,
): Promise<Result<ConfigurationFormat<unknown, unknown>, AppError>> {
  const expected = 'expected a module that exports createFormat';
  const remedy = 'check the path after --format, and build the module';
  try {
    const url = pathToFileURL(resolve(modulePath)).href;
    const module = (await import(url)) as {createFormat?: FormatFactory};
    if (typeof module.createFormat === 'function') {
      return ok(module.createFormat(settingsPath));
    }
    const problem = {path: modulePath, expected, remedy};
    return err(createInvalidInputError('--format', [problem]));
  } catch (error) {
    const cause = `${expected} (${(error as Error).message})`;
    const problem = {path: modulePath, expected: cause, remedy};
    return err(createInvalidInputError('--format', [problem]));
  }
}

function readJsonBytes(path: string): Result<Buffer, AppError> {
  try {
    const bytes = readFileSync(path);
    if (!isUtf8(bytes)) throw new Error('it is not UTF-8 text');
    JSON.parse(bytes.toString());
    return ok(bytes);
  } catch (error) {
    const expected = `expected a readable JSON file (${(error as Error).message})`;
    const remedy = 'check the path, its permissions and the JSON syntax';
    const problem = {path: '(whole file)', expected, remedy};
    return err(createInvalidInputError(path, [problem]));
  }
}

function createErrorReport(
  format: string,
  error: Extract<AppError, {kind: 'invalid-input'}>,
): CheckReport {
  const findings = error.problems.map(
    ({path, expected, remedy}): PrintedFinding => {
      return {kind: 'error', path, message: `${expected}; ${remedy}`};
    },
  );
  return {format, findings};
}

function createOutput(path: string, report: CheckReport): CommandOutput {
  return {
    text: renderReport(path, report),
    json: {file: path, ...report},
    exitStatus: getExitStatus(report),
  };
}

/** Differences are no findings: a file that is to be sent differs from the version in force. */
function getExitStatus({findings, comparisonError}: CheckReport): number {
  if (comparisonError !== undefined) return EXIT_STATUS.invalidInput;
  return findings.length > 0 ? EXIT_STATUS.failed : EXIT_STATUS.ok;
}

function renderReport(path: string, report: CheckReport): string {
  const {format, findings, differences, comparisonError} = report;
  const lines = [`${path} (${format}): ${findings.length} findings`];
  for (const finding of findings) {
    lines.push(`  ${finding.kind} at ${finding.path}: ${finding.message}`);
  }
  if (comparisonError !== undefined) {
    lines.push(
      `the state of the deployment could not be read (${comparisonError}); --offline leaves out the comparison`,
    );
  }
  if (differences !== undefined) {
    lines.push(`${differences.length} differences from the version in force`);
    for (const {path: location, before, after} of differences) {
      lines.push(
        `  ${location}: ${renderValue(before)} -> ${renderValue(after)}`,
      );
    }
  }
  return `${lines.join('\n')}\n`;
}

function renderValue(value: unknown): string {
  if (value === undefined) return '(absent)';
  const text = JSON.stringify(value);
  return text.length <= MAX_VALUE_LENGTH
    ? text
    : `${text.slice(0, MAX_VALUE_LENGTH)}...`;
}
