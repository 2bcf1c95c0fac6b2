/**
 * Expands jobs and services into task rows; expected revisions ensure that
 * each row is created once.
 */

import {z} from 'zod';
import {
  BatchJobDeclaration,
  EnvironmentDocument,
  ServiceDeclaration,
} from '@mustardlug/document/environment_document';
import {TokenSource} from '@mustardlug/platform/token_source';
import {
  ABSENT_REVISION,
  StoredValue,
  TableOperation,
} from '@mustardlug/platform/table_service';
import {getTaskKey, TaskRecord} from './task_record.js';

/** Schema of a job row. */
export const jobRecordSchema = z.object({
  writeToken: z.string(),
  name: z.string(),
  team: z.string(),
  tasks: z.number().int(),
  /** Number of tasks whose rows have been created. */
  createdTasks: z.number().int(),
  submittedAtMs: z.number(),
});

/** Row of a job. */
export type JobRecord = z.infer<typeof jobRecordSchema> & StoredValue;

/** Maximum number of task rows created in one transaction. */
export const TASKS_PER_TRANSACTION = 200;

/**
 * Gets the id of a batch task.
 * @param jobName - Name of the job.
 * @param index - Index of the task in the job.
 */
export function getBatchTaskId(jobName: string, index: number): string {
  return `batch.${jobName}.${index}`;
}

/**
 * Gets the id of a service replica; it contains the failure domain, which never changes.
 * @param serviceName - Name of the service.
 * @param failureDomain - Failure domain that runs the replica.
 * @param index - Index of the replica in the domain.
 */
export function getReplicaTaskId(
  serviceName: string,
  failureDomain: string,
  index: number,
): string {
  return `service.${serviceName}.${failureDomain}.${index}`;
}

/**
 * Distributes the replicas of a service over failure domains in proportion to their workers.
 * @param replicas - Replicas of the service.
 * @param workersByDomain - Number of workers of each domain.
 * @returns Number of replicas by domain; the sum is `replicas` if there are workers.
 */
export function distributeReplicas(
  replicas: number,
  workersByDomain: ReadonlyMap<string, number>,
): Map<string, number> {
  const domains = [...workersByDomain].sort(([left], [right]) =>
    left < right ? -1 : 1,
  );
  let total = 0;
  for (const [, workers] of domains) total += workers;
  const replicasByDomain = new Map<string, number>();
  let cumulativeWorkers = 0;
  let assignedReplicas = 0;
  for (const [domain, workers] of domains) {
    cumulativeWorkers += workers;
    const cumulativeReplicas = Math.round(
      (replicas * cumulativeWorkers) / total,
    );
    replicasByDomain.set(domain, cumulativeReplicas - assignedReplicas);
    assignedReplicas = cumulativeReplicas;
  }
  return replicasByDomain;
}

/**
 * Creates the record of a service replica.
 * @param service - Declared service.
 * @param taskId - Id of the replica.
 * @param writeToken - Token of the write.
 * @param nowMs - Wall time in milliseconds.
 */
export function createReplicaRecord(
  service: ServiceDeclaration,
  taskId: string,
  writeToken: string,
  nowMs: number,
): TaskRecord {
  return {
    ...createCommonRecord(service.team, taskId, writeToken, nowMs),
    ...service.resources,
    kind: 'service',
    name: service.name,
    maxAttempts: Number.MAX_SAFE_INTEGER,
    expectedRunMs: 1,
    isUrgent: true,
    slots: service.slotsPerReplica,
    connections: service.connectionsPerReplica,
  };
}

/**
 * Creates the record of a batch task.
 * @param job - Declared job.
 * @param taskId - Id of the task.
 * @param writeToken - Token of the write.
 * @param nowMs - Wall time in milliseconds.
 */
export function createBatchRecord(
  job: BatchJobDeclaration,
  taskId: string,
  writeToken: string,
  nowMs: number,
): TaskRecord {
  return {
    ...createCommonRecord(job.team, taskId, writeToken, nowMs),
    ...job.resources,
    kind: 'batch',
    name: job.name,
    maxAttempts: job.maxAttempts,
    expectedRunMs: job.expectedRunMs,
    isUrgent: job.isUrgent,
    slots: 0,
    connections: 0,
  };
}

function createCommonRecord(
  team: string,
  taskId: string,
  writeToken: string,
  nowMs: number,
) {
  return {
    writeToken,
    taskId,
    team,
    state: 'pending' as const,
    attempt: 0,
    failures: 0,
    evictions: 0,
    submittedAtMs: nowMs,
  };
}

/** Progress of the expansion of a job, and the failure domains for its tasks. */
export interface JobExpansion {
  readonly job: BatchJobDeclaration;
  readonly jobKey: string;
  /** Revision of the job row; 0 when it does not exist. */
  readonly revision: number;
  readonly createdTasks: number;
  /** Failure domains of the tasks, assigned round-robin by task index. */
  readonly failureDomains: readonly string[];
}

/**
 * Creates the operations of the next transaction of a job: the update of the job row, then the new task rows.
 * @param expansion - Job and the progress of its expansion.
 * @param tokens - Source of the write token.
 * @param nowMs - Wall time in milliseconds.
 */
export function createJobOperations(
  expansion: JobExpansion,
  tokens: TokenSource,
  nowMs: number,
): [Extract<TableOperation, {kind: 'put'}>, ...TableOperation[]] {
  const {job, createdTasks, failureDomains} = expansion;
  const writeToken = tokens.getNext();
  const end = Math.min(job.tasks, createdTasks + TASKS_PER_TRANSACTION);
  const record: JobRecord = {
    writeToken,
    name: job.name,
    team: job.team,
    tasks: job.tasks,
    createdTasks: end,
    submittedAtMs: nowMs,
  };
  const tasks: TableOperation[] = [];
  for (let index = createdTasks; index < end; index++) {
    const taskId = getBatchTaskId(job.name, index);
    const domain = failureDomains[index % failureDomains.length];
    tasks.push({
      kind: 'put',
      key: getTaskKey(domain, taskId),
      value: createBatchRecord(job, taskId, writeToken, nowMs),
      expectedRevision: ABSENT_REVISION,
    });
  }
  return [
    {
      kind: 'put',
      key: expansion.jobKey,
      value: record,
      expectedRevision: expansion.revision,
    },
    ...tasks,
  ];
}

/**
 * Gets the replicas that a domain should run.
 * @param document - Current environment document.
 * @param failureDomain - Domain that runs the replicas.
 * @param workersByDomain - Number of workers of each domain.
 * @returns Declared service of each replica, by task id.
 */
export function getDesiredReplicas(
  document: EnvironmentDocument,
  failureDomain: string,
  workersByDomain: ReadonlyMap<string, number>,
): Map<string, ServiceDeclaration> {
  const desired = new Map<string, ServiceDeclaration>();
  for (const service of document.services) {
    const replicasByDomain = distributeReplicas(
      service.replicas,
      workersByDomain,
    );
    const count = replicasByDomain.get(failureDomain) ?? 0;
    for (let index = 0; index < count; index++) {
      desired.set(
        getReplicaTaskId(service.name, failureDomain, index),
        service,
      );
    }
  }
  return desired;
}
