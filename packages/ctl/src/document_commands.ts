/** Commands on the environment document: validate, trial, promote. */

import {Result} from 'neverthrow';
import {AppError} from '@mustardlug/base/errors';
import {readTextFile} from '@mustardlug/base/settings_reader';
import {
  getDocumentDigest,
  parseEnvironmentDocument,
} from '@mustardlug/document/environment_document';
import {CtlContext} from './ctl_context.js';

/** Text for people and a value for programs. */
export interface CommandOutput {
  readonly text: string;
  readonly json: unknown;
}

/**
 * Checks a document without publishing it.
 * @param path - Path of the document.
 */
export function validateDocument(
  path: string,
): Result<CommandOutput, AppError> {
  return readTextFile(path).andThen(text =>
    parseEnvironmentDocument(text).map(document => {
      const digest = getDocumentDigest(text);
      const {services, batchJobs, teams} = document;
      return {
        text: `${path} is valid: ${services.length} services, ${batchJobs.length} batch jobs, ${teams.length} teams\ndigest ${digest}\n`,
        json: {isValid: true, digest},
      };
    }),
  );
}

/**
 * Puts a document in force in the trial environment.
 * @param context - Clients.
 * @param path - Path of the document.
 */
export async function publishTrial(
  context: CtlContext,
  path: string,
): Promise<Result<CommandOutput, AppError>> {
  const text = readTextFile(path);
  if (text.isErr()) return text.map(() => ({text: '', json: {}}));
  const published = await context.documents.publishTrial(text.value);
  return published.map(({version, digest}) => ({
    text: `version ${version} is in force in trial\nto promote it: mustardlugctl promote ${digest}\n`,
    json: {stage: 'trial', version, digest},
  }));
}

/**
 * Puts a tried digest in force in production.
 * @param context - Clients.
 * @param digest - Digest of the document.
 */
export async function promoteDocument(
  context: CtlContext,
  digest: string,
): Promise<Result<CommandOutput, AppError>> {
  const published = await context.documents.promote(digest);
  return published.map(({version}) => ({
    text: `version ${version} is in force in production; "mustardlugctl status" shows when each node has it\n`,
    json: {stage: 'production', version, digest},
  }));
}
