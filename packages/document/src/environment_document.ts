/** Schema and validation of the environment document, in which an operator declares one environment. */

import {createHash} from 'node:crypto';
import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {
  createInvalidInputError,
  InvalidInputError,
} from '@mustardlug/base/errors';
import {parseJson} from '@mustardlug/base/json_reader';

const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    'expected lower-case letters, digits and hyphens',
  );

const resourcesSchema = z.strictObject({
  cores: z.number().positive().max(1024),
  memoryMb: z.number().int().positive(),
  accelerators: z.number().int().nonnegative().default(0),
});

const routeSchema = z.strictObject({
  pathPrefix: z.string().startsWith('/'),
  /** Read-only requests may be retried while an earlier attempt may still be running. */
  isReadOnly: z.boolean().default(false),
});

const serviceSchema = z.strictObject({
  name: nameSchema,
  team: nameSchema,
  /** Number of workers, each of which runs one replica. */
  replicas: z.number().int().positive(),
  slotsPerReplica: z.number().int().positive().max(1024).default(8),
  connectionsPerReplica: z.number().int().positive().max(4096).default(64),
  resources: resourcesSchema,
  deadlineMs: z.number().int().positive().max(120_000).default(5_000),
  upstreamTimeoutMs: z.number().int().positive().max(120_000).default(2_000),
  maxBodyBytes: z.number().int().positive().max(16_777_216).default(2_097_152),
  /** How to handle requests with an idempotency key while the table service is unavailable. */
  whenRecordsUnavailable: z.enum(['refuse', 'run']).default('refuse'),
  routes: z.array(routeSchema).default([]),
});

/** Schema of a batch job. */
export const batchJobSchema = z.strictObject({
  name: nameSchema,
  team: nameSchema,
  tasks: z.number().int().positive().max(100_000),
  resources: resourcesSchema,
  expectedRunMs: z.number().int().positive(),
  isUrgent: z.boolean().default(false),
  maxAttempts: z.number().int().positive().max(100).default(5),
});

const teamSchema = z.strictObject({
  name: nameSchema,
  weight: z.number().positive().default(1),
  quotaCores: z.number().positive(),
});

const objectiveSchema = z.strictObject({
  tailLatencyWeight: z.number().nonnegative(),
  evictionWeight: z.number().nonnegative(),
  throughputWeight: z.number().nonnegative(),
});

/** Schema of the environment document. */
export const environmentDocumentSchema = z.strictObject({
  environment: nameSchema,
  objective: objectiveSchema,
  teams: z.array(teamSchema),
  services: z.array(serviceSchema),
  batchJobs: z.array(batchJobSchema),
});

/** CPU cores, memory and accelerators. */
export type Resources = z.infer<typeof resourcesSchema>;
/** A declared service. */
export type ServiceDeclaration = z.infer<typeof serviceSchema>;
/** A declared batch job. */
export type BatchJobDeclaration = z.infer<typeof batchJobSchema>;
/** A declared team with its weight and quota. */
export type TeamDeclaration = z.infer<typeof teamSchema>;
/** Weights of the scheduling objectives. */
export type Objective = z.infer<typeof objectiveSchema>;
/** A validated environment document. */
export type EnvironmentDocument = z.infer<typeof environmentDocumentSchema>;

/**
 * Parses and validates the text of an environment document.
 * @param text - JSON text.
 */
export function parseEnvironmentDocument(
  text: string,
): Result<EnvironmentDocument, InvalidInputError> {
  return parseJson(
    'environment document',
    environmentDocumentSchema,
    text,
  ).andThen(validateReferences);
}

/**
 * Gets the digest that identifies a document in trial and promotion.
 * @param text - The exact text of the document.
 * @returns Lower-case hexadecimal SHA-256.
 */
export function getDocumentDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function validateReferences(
  document: EnvironmentDocument,
): Result<EnvironmentDocument, InvalidInputError> {
  const teams = new Set(document.teams.map(team => team.name));
  const problems = [
    ...getUndeclaredTeamProblems('services', document.services, teams),
    ...getUndeclaredTeamProblems('batchJobs', document.batchJobs, teams),
    ...getDuplicateNameProblems('teams', document.teams),
    ...getDuplicateNameProblems('services', document.services),
    ...getDuplicateNameProblems('batchJobs', document.batchJobs),
  ];
  if (problems.length === 0) return ok(document);
  return err(createInvalidInputError('environment document', problems));
}

function getUndeclaredTeamProblems(
  section: string,
  entries: ReadonlyArray<{readonly team: string}>,
  teams: ReadonlySet<string>,
) {
  return entries.flatMap((entry, index) => {
    if (teams.has(entry.team)) return [];
    const path = `${section}.${index}.team`;
    const expected = `expected a declared team, found "${entry.team}"`;
    return [{path, expected, remedy: 'declare the team under teams'}];
  });
}

function getDuplicateNameProblems(
  section: string,
  entries: ReadonlyArray<{readonly name: string}>,
) {
  const seen = new Set<string>();
  return entries.flatMap((entry, index) => {
    if (!seen.has(entry.name)) {
      seen.add(entry.name);
      return [];
    }
    const path = `${section}.${index}.name`;
    const expected = `expected a unique name, found "${entry.name}" again`;
    return [{path, expected, remedy: 'rename or remove one of the two'}];
  });
}
