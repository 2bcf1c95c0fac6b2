/** Commands for jobs and tasks: submit, cancel, explain. */

import {err, ok, Result} from 'neverthrow';
import {
  AppError,
  createConflictError,
  createNotFoundError,
} from '@mustardlug/base/errors';
import {readJsonFile} from '@mustardlug/base/json_reader';
import {
  BatchJobDeclaration,
  batchJobSchema,
} from '@mustardlug/document/environment_document';
import {
  ABSENT_REVISION,
  getAllRows,
  StoredValue,
} from '@mustardlug/platform/table_service';
import {
  createJobOperations,
  JobExpansion,
} from '@mustardlug/scheduling/job_expander';
import {createRetriedRecord} from '@mustardlug/scheduling/start_crashes';
import {getDomainsInService} from '@mustardlug/scheduling/fleet';
import {
  CANCEL_PREFIX,
  getTaskDomain,
  JOB_PREFIX,
  TaskRecord,
  taskRecordSchema,
} from '@mustardlug/scheduling/task_record';
import {CtlContext} from './ctl_context.js';
import {CommandOutput} from './document_commands.js';
import {getTimeline, renderEvents} from './node_commands.js';
import {renderTable} from './text_table.js';

/** Entity types that the `explain` command supports. */
export type EntityKind = 'task' | 'request' | 'worker';

/**
 * Submits a batch job.
 * @param context - Clients.
 * @param path - Path of the JSON file that declares the job.
 */
export async function submitJob(
  context: CtlContext,
  path: string,
): Promise<Result<CommandOutput, AppError>> {
  const job = readJsonFile(path, batchJobSchema);
  if (job.isErr()) return err(job.error);
  const snapshot = await context.vmList.getSnapshot();
  if (snapshot.isErr()) return err(snapshot.error);
  const workers = (snapshot.value?.vms ?? []).filter(
    vm => vm.role === 'worker',
  );
  const failureDomains = [
    ...new Set(workers.map(vm => vm.failureDomain)),
  ].sort();
  if (failureDomains.length === 0) {
    const message = 'the VM list has no workers; check the platform';
    return err(createNotFoundError(message));
  }
  const evacuated = await context.evacuations.getDomains();
  if (evacuated.isErr()) return err(evacuated.error);
  const jobKey = JOB_PREFIX + job.value.name;
  return createTasks(
    context,
    job.value,
    jobKey,
    getDomainsInService(failureDomains, new Set(evacuated.value)),
  );
}

async function createTasks(
  context: CtlContext,
  job: BatchJobDeclaration,
  jobKey: string,
  failureDomains: readonly string[],
): Promise<Result<CommandOutput, AppError>> {
  let createdTasks = 0;
  let revision = ABSENT_REVISION;
  while (createdTasks < job.tasks) {
    const expansion: JobExpansion = {
      job,
      jobKey,
      revision,
      createdTasks,
      failureDomains,
    };
    const operations = createJobOperations(
      expansion,
      context.tokens,
      Date.now(),
    );
    const [firstOperation] = operations;
    const written = await context.retryingCommitter.commit(
      firstOperation.value.writeToken,
      operations,
    );
    if (written.isErr()) {
      if (written.error.kind !== 'conflict') return err(written.error);
      const message = `job ${job.name} already exists; choose another name`;
      return err(createConflictError(message));
    }
    revision = written.value.revision;
    createdTasks += operations.length - 1;
  }
  return ok({
    text: `job ${job.name}: ${createdTasks} tasks submitted\n`,
    json: {job: job.name, tasks: createdTasks},
  });
}

/**
 * Cancels all tasks of a job by writing a single cancellation row. Succeeds if
 * the row already exists.
 */
export async function cancelJob(
  context: CtlContext,
  jobName: string,
): Promise<Result<CommandOutput, AppError>> {
  const job = await context.table.getRow(JOB_PREFIX + jobName);
  if (job.isErr()) return err(job.error);
  if (job.value === undefined) {
    const message = `there is no job ${jobName}; check the name`;
    return err(createNotFoundError(message));
  }
  const value: StoredValue = {writeToken: context.tokens.getNext()};
  const written = await context.retryingCommitter.commit(value.writeToken, [
    {
      kind: 'put',
      key: CANCEL_PREFIX + jobName,
      value,
      expectedRevision: ABSENT_REVISION,
    },
  ]);
  const isAlreadyCancelled =
    written.isErr() && written.error.kind === 'conflict';
  if (written.isErr() && !isAlreadyCancelled) return err(written.error);
  return ok({
    text: `job ${jobName} is cancelled; its tasks end within seconds\n`,
    json: {job: jobName, isCancelled: true},
  });
}

/**
 * Makes a failed task pending again.
 * @param context - Clients.
 * @param taskId - Id of the task.
 */
export async function retryTask(
  context: CtlContext,
  taskId: string,
): Promise<Result<CommandOutput, AppError>> {
  const rows = await getAllRows(context.table, 'task/');
  if (rows.isErr()) return err(rows.error);
  for (const {key, value, revision} of rows.value) {
    const parsed = taskRecordSchema.safeParse(value);
    if (!parsed.success || parsed.data.taskId !== taskId) continue;
    if (parsed.data.state !== 'failed') {
      const message = `task ${taskId} is ${parsed.data.state}; only failed tasks can be retried`;
      return err(createConflictError(message));
    }
    const writeToken = context.tokens.getNext();
    const next = createRetriedRecord(parsed.data, writeToken);
    const written = await context.retryingCommitter.commit(writeToken, [
      {kind: 'put', key, value: next, expectedRevision: revision},
    ]);
    if (written.isErr()) return err(written.error);
    return ok({
      text: `task ${taskId} is pending again\n`,
      json: {taskId, state: next.state},
    });
  }
  const message = `there is no task ${taskId}; ended batch tasks are kept for 10 minutes`;
  return err(createNotFoundError(message));
}

/**
 * Shows the current state and the event history of a task, request or worker.
 * @param context - Clients.
 * @param kind - Type of the entity.
 * @param id - Id of the entity.
 */
export async function explain(
  context: CtlContext,
  kind: EntityKind,
  id: string,
): Promise<Result<CommandOutput, AppError>> {
  switch (kind) {
    case 'task':
      return explainTask(context, id);
    case 'request':
      return explainRequest(context, id);
    case 'worker':
      return explainWorker(context, id);
  }
}

/** A task with the failure domain that it belongs to. */
interface LocatedTask {
  readonly record: TaskRecord;
  readonly failureDomain: string;
}

async function getTasks(
  context: CtlContext,
): Promise<Result<LocatedTask[], AppError>> {
  const rows = await getAllRows(context.table, 'task/');
  return rows.map(list =>
    list.flatMap(({key, value}) => {
      const parsed = taskRecordSchema.safeParse(value);
      if (!parsed.success) return [];
      const record = parsed.data;
      return [{record, failureDomain: getTaskDomain(key, record.taskId)}];
    }),
  );
}

async function explainTask(
  context: CtlContext,
  taskId: string,
): Promise<Result<CommandOutput, AppError>> {
  const tasks = await getTasks(context);
  if (tasks.isErr()) return err(tasks.error);
  const task = tasks.value.find(({record}) => record.taskId === taskId);
  if (task === undefined) {
    const message = `there is no task ${taskId}; task ids look like batch.JOB.0 or service.NAME.DOMAIN.0, and ended batch tasks are kept for 10 minutes`;
    return err(createNotFoundError(message));
  }
  const evacuated = await context.evacuations.getDomains();
  if (evacuated.isErr()) return err(evacuated.error);
  const {record} = task;
  const events = await getTimeline(context, {taskId});
  return ok({
    text: `${describeTask(task, evacuated.value)}\n\n${renderEvents(events)}`,
    json: {record, events},
  });
}

/**
 * Describes the state of a task, and why it waits.
 * @param task - Task to describe.
 * @param evacuatedDomains - Names of the evacuated failure domains.
 */
export function describeTask(
  {record, failureDomain}: LocatedTask,
  evacuatedDomains: readonly string[],
): string {
  const lines = [
    `task ${record.taskId} of ${record.kind} ${record.name}, team ${record.team}: ${record.state}`,
    `attempt ${record.attempt}, failures ${record.failures}, evictions ${record.evictions}`,
    `needs ${record.cores} cores, ${record.memoryMb} MB, ${record.accelerators} accelerators`,
  ];
  if (record.state === 'bound') lines.push(`bound to ${record.workerId}`);
  const isEvacuated = evacuatedDomains.includes(failureDomain);
  if (record.state === 'pending' && isEvacuated) {
    lines.push(
      record.kind === 'service'
        ? `waiting until its failure domain ${failureDomain} is restored; replicas do not move to other domains`
        : `its failure domain ${failureDomain} is evacuated; waiting for a scheduler of another domain to take it over`,
    );
  } else if (record.state === 'pending') {
    lines.push(
      'waiting for a worker with sufficient capacity; a team at its quota waits until one of its own tasks ends',
    );
  }
  if (record.reason !== undefined) lines.push(`reason: ${record.reason}`);
  return lines.join('\n');
}

async function explainRequest(
  context: CtlContext,
  requestId: string,
): Promise<Result<CommandOutput, AppError>> {
  const allEvents = await getTimeline(context, {});
  // Each holder that the request was forwarded to records its events under the
  // id with an attempt number appended.
  const events = allEvents.filter(
    event =>
      event.requestId === requestId ||
      event.requestId?.startsWith(`${requestId}.`),
  );
  if (events.length === 0) {
    const message = `no process has an event of request ${requestId}; the timeline contains only the latest events of each process`;
    return err(createNotFoundError(message));
  }
  return ok({text: renderEvents(events), json: events});
}

async function explainWorker(
  context: CtlContext,
  workerId: string,
): Promise<Result<CommandOutput, AppError>> {
  const tasks = await getTasks(context);
  if (tasks.isErr()) return err(tasks.error);
  const bound = tasks.value
    .map(({record}) => record)
    .filter(record => record.state === 'bound' && record.workerId === workerId);
  const statuses = await context.nodeClient.getStatuses();
  const holders = statuses.flatMap(({result}) => {
    if (result.isErr()) return [];
    const {nodeId, role, leases} = result.value;
    const lease = leases.find(candidate => candidate.workerId === workerId);
    return lease === undefined ? [] : [{nodeId, role, epoch: lease.epoch}];
  });
  const events = await getTimeline(context, {workerId});
  const holderText = holders
    .map(({nodeId, role, epoch}) => `${role} ${nodeId} (epoch ${epoch})`)
    .join(', ');
  const table = renderTable(
    ['TASK', 'ATTEMPT', 'CORES', 'MEMORY MB'],
    bound.map(record => [
      record.taskId,
      String(record.attempt),
      String(record.cores),
      String(record.memoryMb),
    ]),
  );
  return ok({
    text: `worker ${workerId}: leases held by ${holderText || 'no process'}\n${table}\n${renderEvents(events)}`,
    json: {workerId, holders, bound, events},
  });
}
