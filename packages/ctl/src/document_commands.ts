/** Commands for the environment document: validate, trial, promote. */

import {Result} from 'neverthrow';
import {AppError} from '@mustardlug/base/errors';
import {readTextFile} from '@mustardlug/base/json_reader';
import {
  getDocumentDigest,
  parseEnvironmentDocument,
} from '@mustardlug/document/environment_document';
import {CtlContext} from './ctl_context.js';

/** Output of a command: text for terminals, and the value printed with `--json`. */
export interface CommandOutput {
  readonly text: string;
  readonly json: unknown;
  /** Exit status of a command that succeeded; 0 by default. */
  readonly exitStatus?: number;
}

/** Validates a document without publishing it. */
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

/** Publishes a document to the trial environment. */
export async function publishTrial(
  context: CtlContext,
  path: string,
): Promise<Result<CommandOutput, AppError>> {
  const text = readTextFile(path);
  if (text.isErr()) return text.map(() => ({text: '', json: {}}));
  const published = await context.documents.publishTrial(text.value);
  return published.map(({version, digest}) => ({
    text: `version ${version} is published to the trial environment\nto promote it: mustardlugctl promote ${digest}\n`,
    json: {stage: 'trial', version, digest},
  }));
}

/**
 * Publishes a document that went through the trial environment to production.
 * @param context - Clients.
 * @param digest - Digest of the document, as printed by `trial`.
 */
export async function promoteDocument(
  context: CtlContext,
  digest: string,
): Promise<Result<CommandOutput, AppError>> {
  const published = await context.documents.promote(digest);
  return published.map(({version}) => ({
    text: `version ${version} is published to production; "mustardlugctl status" shows the version that each node uses\n`,
    json: {stage: 'production', version, digest},
  }));
}
