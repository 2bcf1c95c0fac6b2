/** Commands on jobs and tasks: submit, cancel, explain. */

import {err, ok, Result} from 'neverthrow';
import {
  AppError,
  createConflictError,
  createNotFoundError,
} from '@mustardlug/base/errors';
import {readJsonFile} from '@mustardlug/base/settings_reader';
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
  JobPlan,
} from '@mustardlug/scheduling/job_expander';
import {
  CANCEL_PREFIX,
  JOB_PREFIX,
  TaskRecord,
  taskRecordSchema,
} from '@mustardlug/scheduling/task_record';
import {CtlContext} from './ctl_context.js';
import {CommandOutput} from './document_commands.js';
import {getTimeline, renderEvents} from './node_commands.js';
import {renderTable} from './text_table.js';

/** What can be explained. */
export type ExplainSubject = 'task' | 'request' | 'worker';

/**
 * Submits a batch job.
 * @param context - Clients.
 * @param path - Path of the job's JSON file.
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
  const jobKey = JOB_PREFIX + job.value.name;
  return createTasks(context, job.value, jobKey, failureDomains);
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
    const plan: JobPlan = {job, jobKey, revision, createdTasks, failureDomains};
    const unit = createJobOperations(plan, context.tokens, Date.now());
    const [first] = unit;
    const written = await context.settledTable.commit(
      first.value.writeToken,
      unit,
    );
    if (written.isErr()) {
      if (written.error.kind !== 'conflict') return err(written.error);
      const message = `job ${job.name} already exists; choose another name`;
      return err(createConflictError(message));
    }
    revision = written.value.revision;
    createdTasks += unit.length - 1;
  }
  return ok({
    text: `job ${job.name}: ${createdTasks} tasks submitted\n`,
    json: {job: job.name, tasks: createdTasks},
  });
}

/**
 * Cancels all tasks of a job with one write.
 * @param context - Clients.
 * @param jobName - Name of the job.
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
  const written = await context.settledTable.commit(value.writeToken, [
    {
      kind: 'put',
      key: CANCEL_PREFIX + jobName,
      value,
      expectedRevision: ABSENT_REVISION,
    },
  ]);
  const isRepeated = written.isErr() && written.error.kind === 'conflict';
  if (written.isErr() && !isRepeated) return err(written.error);
  return ok({
    text: `job ${jobName} is cancelled; its tasks end within seconds\n`,
    json: {job: jobName, isCancelled: true},
  });
}

/**
 * Explains where a task, request or worker stands and what happened to it.
 * @param context - Clients.
 * @param subject - Kind of the thing.
 * @param id - Its id.
 */
export async function explain(
  context: CtlContext,
  subject: ExplainSubject,
  id: string,
): Promise<Result<CommandOutput, AppError>> {
  switch (subject) {
    case 'task':
      return explainTask(context, id);
    case 'request':
      return explainRequest(context, id);
    case 'worker':
      return explainWorker(context, id);
  }
}

async function getTaskRecords(
  context: CtlContext,
): Promise<Result<TaskRecord[], AppError>> {
  const rows = await getAllRows(context.table, 'task/');
  return rows.map(list =>
    list.flatMap(row => {
      const parsed = taskRecordSchema.safeParse(row.value);
      return parsed.success ? [parsed.data] : [];
    }),
  );
}

async function explainTask(
  context: CtlContext,
  taskId: string,
): Promise<Result<CommandOutput, AppError>> {
  const records = await getTaskRecords(context);
  if (records.isErr()) return err(records.error);
  const record = records.value.find(candidate => candidate.taskId === taskId);
  if (record === undefined) {
    const message = `there is no task ${taskId}; task ids look like batch.JOB.0 or service.NAME.DOMAIN.0, and ended batch tasks are kept for 10 minutes`;
    return err(createNotFoundError(message));
  }
  const events = await getTimeline(context, {taskId});
  return ok({
    text: `${describeTask(record)}\n\n${renderEvents(events)}`,
    json: {record, events},
  });
}

function describeTask(record: TaskRecord): string {
  const lines = [
    `task ${record.taskId} of ${record.kind} ${record.name}, team ${record.team}: ${record.state}`,
    `attempt ${record.attempt}, failures ${record.failures}, evictions ${record.evictions}`,
    `needs ${record.cores} cores, ${record.memoryMb} MB, ${record.accelerators} accelerators`,
  ];
  if (record.state === 'bound') lines.push(`bound to ${record.workerId}`);
  if (record.state === 'pending') {
    lines.push(
      'waits for a worker with room; teams at their quota wait for their own tasks to end',
    );
  }
  if (record.reason !== undefined) lines.push(`reason: ${record.reason}`);
  return lines.join('\n');
}

async function explainRequest(
  context: CtlContext,
  requestId: string,
): Promise<Result<CommandOutput, AppError>> {
  const all = await getTimeline(context, {});
  // Each holder that was tried sees the id with a number behind it.
  const events = all.filter(
    event =>
      event.requestId === requestId ||
      event.requestId?.startsWith(`${requestId}.`),
  );
  if (events.length === 0) {
    const message = `no process remembers request ${requestId}; the time line holds the latest events only`;
    return err(createNotFoundError(message));
  }
  return ok({text: renderEvents(events), json: events});
}

async function explainWorker(
  context: CtlContext,
  workerId: string,
): Promise<Result<CommandOutput, AppError>> {
  const records = await getTaskRecords(context);
  if (records.isErr()) return err(records.error);
  const bound = records.value.filter(
    record => record.state === 'bound' && record.workerId === workerId,
  );
  const statuses = await context.nodes.getStatuses();
  const holders = statuses.flatMap(({answer}) => {
    if (answer.isErr()) return [];
    const {nodeId, role, leases} = answer.value;
    const lease = leases.find(candidate => candidate.workerId === workerId);
    return lease === undefined ? [] : [{nodeId, role, epoch: lease.epoch}];
  });
  const events = await getTimeline(context, {workerId});
  const held = holders
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
    text: `worker ${workerId}: leases held by ${held || 'nobody'}\n${table}\n${renderEvents(events)}`,
    json: {workerId, holders, bound, events},
  });
}
