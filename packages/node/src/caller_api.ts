/** HTTP interface for callers: submit, show and cancel jobs of a queue. */

import {Clock} from '@mustardlug/base/clock';
import {AppError} from '@mustardlug/base/errors';
import {Board} from '@mustardlug/coordination/board';
import {JobDesk, STORE_RETRY_AFTER_MS} from '@mustardlug/coordination/job_desk';
import {JobSpec} from '@mustardlug/jobs/job_spec';
import {
  FleetConfig,
  findQueue,
  QueueConfig,
} from '@mustardlug/jobs/queue_config';
import {Context, Hono} from 'hono';
import {ContentfulStatusCode} from 'hono/utils/http-status';
import {Result} from 'neverthrow';

/** What a platform lays down about callers' requests. */
export interface CallerFormat {
  /** Decodes the body of a submission. */
  decodeJob(body: string): Result<JobSpec, AppError>;
  /** Header with the time that a caller waits for an answer, in milliseconds. */
  readonly deadlineHeader: string;
  /** Renders the phase of a job. */
  renderPhase(phase: string): object;
  /** Renders the number of jobs that wait in a queue. */
  renderWaiting(waitingJobs: number): object;
}

/** Options of the interface. */
export interface CallerApiOptions {
  readonly clock: Clock;
  readonly desk: JobDesk;
  readonly format: CallerFormat;
  readonly getConfig: () => FleetConfig | undefined;
  /** Gets the coordinator's board and its age. */
  readonly getBoard: () => {board: Board; ageMs: number} | undefined;
  /** Gets for how long the store has not answered this node; undefined while it does. */
  readonly getStoreLostMs: () => number | undefined;
  /** Is told of each answer. */
  readonly onAnswer?: (
    method: string,
    status: number,
    durationMs: number,
  ) => void;
}

/** Age beyond which the number of waiting jobs is not shown. */
const MAX_BOARD_AGE_MS = 2_000;

/** Time that a caller is assumed to wait when it does not say. */
const DEFAULT_DEADLINE_MS = 3_000;

/**
 * Longest time for which a request waits for the store. Beyond it another node
 * is more likely to help, and a repeat with the same identifier is safe.
 */
const MAX_ANSWER_MS = 850;

/** When to come back while this node has no configuration or no current board. */
const NOT_READY_RETRY_MS = 1_000;

const MS_PER_SECOND = 1_000;

const JOB_ID_PATTERN = /^[0-9a-f]{16}$/;

/** A request that addresses a queue. */
interface QueueRequest {
  readonly context: Context;
  readonly queue: QueueConfig;
  /** What follows the queue's prefix. */
  readonly rest: string;
  readonly config: FleetConfig;
}

/** Serves callers. */
export class CallerApi {
  private constructor(private readonly options: CallerApiOptions) {}

  /**
   * Creates the routes.
   * @param options - Desk, configuration and formats.
   */
  static createApp(options: CallerApiOptions): Hono {
    const api = new CallerApi(options);
    const app = new Hono();
    app.all('*', context => api.answer(context));
    return app;
  }

  private async answer(context: Context): Promise<Response> {
    const {clock, onAnswer} = this.options;
    const startMs = clock.getMonotonicMs();
    const response = await this.handle(context);
    const durationMs = clock.getMonotonicMs() - startMs;
    onAnswer?.(context.req.method, response.status, durationMs);
    return response;
  }

  private async handle(context: Context): Promise<Response> {
    const config = this.options.getConfig();
    if (config === undefined) {
      const reason = 'no configuration has been received yet; try again';
      return renderRefusal(context, 503, reason, NOT_READY_RETRY_MS);
    }
    const host = (context.req.header('host') ?? '').split(':')[0];
    const queue = findQueue(config, host, context.req.path);
    if (queue === undefined) {
      const reason = `no queue at ${host}${context.req.path}; check the path`;
      return context.json({error: {reason}}, 404);
    }
    const rest = context.req.path.slice(queue.pathPrefix.length);
    const storeLostMs = this.options.getStoreLostMs();
    if (storeLostMs !== undefined) {
      const reason = 'this node does not reach the store; nothing was done';
      if (context.req.method === 'POST')
        this.options.desk.noteRefused(rest, queue.name, reason);
      // An outage that has lasted for a while is likely to last as long again.
      const retryAfterMs = Math.max(STORE_RETRY_AFTER_MS, storeLostMs);
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
    const answerByMs = this.getAnswerByMs(context);
    const {maxBodyBytes} = config.limits;
    const length = Number(context.req.header('content-length') ?? 0);
    const tooLarge = `the body exceeds ${maxBodyBytes} bytes; shorten it`;
    if (length > maxBodyBytes)
      return context.json({error: {reason: tooLarge}}, 413);
    const body = await context.req.text();
    if (Buffer.byteLength(body) > maxBodyBytes)
      return context.json({error: {reason: tooLarge}}, 413);
    const spec = this.options.format.decodeJob(body);
    if (spec.isErr())
      return context.json({error: {reason: spec.error.message}}, 400);
    const load = this.options.getBoard()?.board.queues?.[queue.name];
    const outcome = await this.options.desk.submit({
      jobId: rest,
      spec: spec.value,
      queue,
      answerByMs,
      retryAfterMs: load?.retryAfterMs ?? 0,
    });
    if (outcome.isOk()) return context.json({});
    const {error} = outcome;
    if (error.kind === 'unavailable')
      return context.json({error: {reason: error.message}}, 504);
    const status = (load?.retryAfterMs ?? 0) > 0 ? 429 : 503;
    return renderRefusal(context, status, error.message, error.retryAfterMs);
  }

  private async showJob(request: QueueRequest): Promise<Response> {
    const {context, rest} = request;
    const phase = await this.options.desk.getPhase(rest);
    if (phase.isOk())
      return context.json(this.options.format.renderPhase(phase.value));
    return renderLookupError(context, phase.error);
  }

  private async cancelJob(request: QueueRequest): Promise<Response> {
    const {context, rest} = request;
    const outcome = await this.options.desk.cancel(
      rest,
      this.getAnswerByMs(context),
    );
    if (outcome.isOk()) return context.json({});
    return renderLookupError(context, outcome.error);
  }

  private showQueue(request: QueueRequest): Response {
    const {context, queue} = request;
    const received = this.options.getBoard();
    const queues = received?.board.queues;
    const isCurrent =
      received !== undefined && received.ageMs <= MAX_BOARD_AGE_MS;
    if (queues === undefined || !isCurrent) {
      const reason = 'the number of waiting jobs is not known now; try again';
      return renderRefusal(context, 503, reason, NOT_READY_RETRY_MS);
    }
    const waitingJobs = queues[queue.name]?.waitingJobs ?? 0;
    return context.json(this.options.format.renderWaiting(waitingJobs));
  }

  private getAnswerByMs(context: Context): number {
    const header = context.req.header(this.options.format.deadlineHeader);
    const deadlineMs = Number(header ?? DEFAULT_DEADLINE_MS);
    const waitMs = Number.isFinite(deadlineMs)
      ? deadlineMs
      : DEFAULT_DEADLINE_MS;
    const nowMs = this.options.clock.getMonotonicMs();
    return nowMs + Math.min(waitMs, MAX_ANSWER_MS);
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
