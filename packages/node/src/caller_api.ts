/** HTTP API for callers: submits, shows and cancels the jobs of a queue. */

import {Clock} from '@mustardlug/base/clock';
import {AppError} from '@mustardlug/base/errors';
import {
  getCurrentQueueLoads,
  ReceivedStatus,
} from '@mustardlug/coordination/coordinator_status';
import {RefusalLimit} from '@mustardlug/coordination/admission_control';
import {isAboveLimit} from '@mustardlug/coordination/job_limits';
import {getJobWork} from '@mustardlug/coordination/task_order';
import {
  JobStatus,
  JobStore,
  STORE_RETRY_AFTER_MS,
} from '@mustardlug/coordination/job_store';
import {JobSpec} from '@mustardlug/jobs/job_spec';
import {
  DeploymentConfig,
  findQueue,
  QueueConfig,
} from '@mustardlug/jobs/queue_config';
import {Context, Hono} from 'hono';
import {ContentfulStatusCode} from 'hono/utils/http-status';
import {Result} from 'neverthrow';
import {ReturnSchedule} from './return_schedule.js';

/** Platform-specific format of callers' requests and responses. */
export interface CallerFormat {
  /** Decodes the request body of a job submission. */
  decodeJob(body: string): Result<JobSpec, AppError>;
  /** Name of the header with the caller's timeout, in milliseconds. */
  readonly deadlineHeader: string;
  /** Renders the response body for the status of a job. */
  renderStatus(status: JobStatus): object;
  /** Renders the response body for the number of jobs waiting in a queue. */
  renderWaiting(waitingJobs: number): object;
}

/** Options of the caller API. */
export interface CallerApiOptions {
  readonly clock: Clock;
  readonly jobs: JobStore;
  readonly returns: ReturnSchedule;
  readonly format: CallerFormat;
  readonly getConfig: () => DeploymentConfig | undefined;
  /** Gets the last status published by the coordinator, and its age; undefined before the first one. */
  readonly getCoordinatorStatus: () => ReceivedStatus | undefined;
  /** Gets how long the store has been unavailable to this node; undefined while it responds. */
  readonly getStoreOutageMs: () => number | undefined;
  /** Called when a job is refused, with the name of its queue. */
  readonly onRefusal?: (
    queueName: string,
    reason: RefusalLimit | 'store',
  ) => void;
  /** Called after each response. */
  readonly onResponse?: (
    method: string,
    status: number,
    durationMs: number,
  ) => void;
}

/** Caller timeout that is assumed when the deadline header is missing or invalid. */
const DEFAULT_TIMEOUT_MS = 3_000;

/**
 * Maximum time that a request waits for the store. After that, a retry on another
 * node is more likely to succeed; retrying with the same job ID is safe.
 */
const MAX_WAIT_MS = 850;

/** Retry delay sent while this node has no configuration or no current coordinator status. */
const NOT_READY_RETRY_AFTER_MS = 1_000;

const MS_PER_SECOND = 1_000;

const JOB_ID_PATTERN = /^[0-9a-f]{16}$/;

/** Request that matches a queue. */
interface QueueRequest {
  readonly context: Context;
  readonly queue: QueueConfig;
  /** Path after the queue's prefix: a job ID, or empty for the queue itself. */
  readonly rest: string;
  readonly config: DeploymentConfig;
}

/** Why a job is refused, and for how long. */
interface Refusal {
  readonly retryAfterMs: number;
  readonly limit: RefusalLimit;
}

/** Request handlers of the caller API. */
export class CallerApi {
  private constructor(private readonly options: CallerApiOptions) {}

  /**
   * Creates a Hono application that serves the API.
   * @param options - Job store, configuration and format.
   */
  static createApp(options: CallerApiOptions): Hono {
    const api = new CallerApi(options);
    const app = new Hono();
    app.all('*', context => api.handleRequest(context));
    return app;
  }

  private async handleRequest(context: Context): Promise<Response> {
    const {clock, onResponse} = this.options;
    const startMs = clock.getMonotonicMs();
    const response = await this.routeRequest(context);
    const durationMs = clock.getMonotonicMs() - startMs;
    onResponse?.(context.req.method, response.status, durationMs);
    return response;
  }

  private async routeRequest(context: Context): Promise<Response> {
    const config = this.options.getConfig();
    if (config === undefined) {
      const reason = 'no configuration has been received yet; try again';
      return renderRefusal(context, 503, reason, NOT_READY_RETRY_AFTER_MS);
    }
    const host = (context.req.header('host') ?? '').split(':')[0];
    const queue = findQueue(config, host, context.req.path);
    if (queue === undefined) {
      const reason = `no queue at ${host}${context.req.path}; check the path`;
      return context.json({error: {reason}}, 404);
    }
    const rest = context.req.path.slice(queue.pathPrefix.length);
    const storeOutageMs = this.options.getStoreOutageMs();
    if (storeOutageMs !== undefined) {
      const reason = 'this node does not reach the store; nothing was done';
      if (context.req.method === 'POST') {
        this.options.jobs.recordRefusal(rest, queue.name, reason);
        this.options.onRefusal?.(queue.name, 'store');
      }
      // An outage is assumed to last as much longer as it has lasted so far.
      const retryAfterMs = Math.max(STORE_RETRY_AFTER_MS, storeOutageMs);
      return renderRefusal(context, 503, reason, retryAfterMs);
    }
    const request = {context, queue, rest, config};
    if (rest === '' && context.req.method === 'GET')
      return this.showQueue(request);
    if (!JOB_ID_PATTERN.test(rest)) {
      const reason = 'a job is named by 16 hexadecimal digits';
      return context.json({error: {reason}}, 404);
    }
    switch (context.req.method) {
      case 'POST':
        return this.submitJob(request);
      case 'GET':
        return this.showJob(request);
      case 'DELETE':
        return this.cancelJob(request);
      default:
        return context.json({error: {reason: 'use POST, GET or DELETE'}}, 405);
    }
  }

  private async submitJob(request: QueueRequest): Promise<Response> {
    const {context, queue, rest, config} = request;
    const deadlineMs = this.getDeadlineMs(context);
    const {maxBodyBytes} = config.limits;
    const length = Number(context.req.header('content-length') ?? 0);
    const tooLargeReason = `the body exceeds ${maxBodyBytes} bytes; shorten it`;
    if (length > maxBodyBytes)
      return context.json({error: {reason: tooLargeReason}}, 413);
    const body = await context.req.text();
    if (Buffer.byteLength(body) > maxBodyBytes)
      return context.json({error: {reason: tooLargeReason}}, 413);
    const spec = this.options.format.decodeJob(body);
    if (spec.isErr())
      return context.json({error: {reason: spec.error.message}}, 400);
    const refusal = this.decideRefusal(queue.name, rest, spec.value);
    const outcome = await this.options.jobs.submit({
      jobId: rest,
      spec: spec.value,
      queue,
      deadlineMs,
      retryAfterMs: refusal?.retryAfterMs ?? 0,
      limit: refusal?.limit,
    });
    if (outcome.isOk()) return context.json({});
    const {error} = outcome;
    if (error.kind === 'unavailable')
      return context.json({error: {reason: error.message}}, 504);
    if (error.kind === 'invalid-input')
      return context.json({error: {reason: error.message}}, 413);
    this.options.onRefusal?.(queue.name, refusal?.limit ?? 'store');
    const status = refusal !== undefined ? 429 : 503;
    return renderRefusal(context, status, error.message, error.retryAfterMs);
  }

  /** Decides whether a job is refused, by what the coordinator has published of its queue. */
  private decideRefusal(
    queueName: string,
    jobId: string,
    spec: JobSpec,
  ): Refusal | undefined {
    const {returns, getCoordinatorStatus} = this.options;
    const load = getCurrentQueueLoads(getCoordinatorStatus())?.[queueName];
    if (load === undefined) return undefined;
    if (load.retryAfterMs > 0) {
      const retryAfterMs = returns.assignRetryAfterMs(queueName, load);
      return {retryAfterMs, limit: load.limit ?? 'workers'};
    }
    if (!isAboveLimit(jobId, spec, load.maxJobWork)) return undefined;
    const work = getJobWork(spec);
    const retryAfterMs = returns.assignJobRetryAfterMs(queueName, load, work);
    return {retryAfterMs, limit: 'job-work'};
  }

  private async showJob(request: QueueRequest): Promise<Response> {
    const {context, rest} = request;
    const status = await this.options.jobs.getStatus(rest);
    if (status.isOk())
      return context.json(this.options.format.renderStatus(status.value));
    return renderLookupError(context, status.error);
  }

  private async cancelJob(request: QueueRequest): Promise<Response> {
    const {context, rest} = request;
    const outcome = await this.options.jobs.cancel(
      rest,
      this.getDeadlineMs(context),
    );
    if (outcome.isOk()) return context.json({});
    return renderLookupError(context, outcome.error);
  }

  private showQueue(request: QueueRequest): Response {
    const {context, queue} = request;
    const queues = getCurrentQueueLoads(this.options.getCoordinatorStatus());
    if (queues === undefined) {
      const reason = 'the number of waiting jobs is not known now; try again';
      return renderRefusal(context, 503, reason, NOT_READY_RETRY_AFTER_MS);
    }
    const waitingJobs = queues[queue.name]?.waitingJobs ?? 0;
    return context.json(this.options.format.renderWaiting(waitingJobs));
  }

  private getDeadlineMs(context: Context): number {
    const header = context.req.header(this.options.format.deadlineHeader);
    const timeoutMs = Number(header ?? DEFAULT_TIMEOUT_MS);
    const waitMs = Number.isFinite(timeoutMs) ? timeoutMs : DEFAULT_TIMEOUT_MS;
    const nowMs = this.options.clock.getMonotonicMs();
    return nowMs + Math.min(waitMs, MAX_WAIT_MS);
  }
}

function renderLookupError(context: Context, error: AppError): Response {
  if (error.kind === 'not-found')
    return context.json({error: {reason: error.message}}, 410);
  return context.json({error: {reason: error.message}}, 504);
}

function renderRefusal(
  context: Context,
  status: ContentfulStatusCode,
  reason: string,
  retryAfterMs: number,
): Response {
  const seconds = Math.ceil(retryAfterMs / MS_PER_SECOND);
  context.header('retry-after', String(seconds));
  return context.json({error: {reason}}, status);
}
