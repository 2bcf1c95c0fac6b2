/** A worker over HTTP: its agent, and the upstreams that run on it. */

import {createHash} from 'node:crypto';
import {Context, Hono} from 'hono';
import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {HttpListener} from '@mustardlug/runtime/http_listener';
import {
  LeaseRelease,
  LeaseRequest,
  WorkerCommand,
} from '@mustardlug/platform/worker_client';
import {WorkerModel} from '@mustardlug/standins/worker_model';
import {RunRecorder} from './run_recorder.js';

/** Behaviour of the upstreams that can be set while they run. */
export interface UpstreamBehavior {
  slowFactor: number;
  isSilent: boolean;
  failsRequests: boolean;
}

/** Options of a stand-in worker. */
export interface StandInWorkerOptions {
  readonly model: WorkerModel;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly runs: RunRecorder;
  /** Mean time that an upstream takes for a request. */
  readonly serviceTimeMs: number;
}

const HTTP_CONFLICT = 409;
const MIN_TIME_FRACTION = 0.4;
const DEFAULT_ANSWER_BYTES = 256;

/** Serves one worker on one port. */
export class StandInWorker {
  /** Behaviour; change it at any time. */
  readonly behavior: UpstreamBehavior = {
    slowFactor: 1,
    isSilent: false,
    failsRequests: false,
  };
  /** Most connections that were open at once, those to the agent included. */
  mostConnections = 0;
  private connections = 0;
  private listener: HttpListener | undefined;

  private constructor(private readonly options: StandInWorkerOptions) {}

  /**
   * Creates a worker; nothing listens before `start`.
   * @param options - Model, clock and service time.
   */
  static create(options: StandInWorkerOptions): StandInWorker {
    return new StandInWorker(options);
  }

  /** Gets the state machine of the worker. */
  getModel(): WorkerModel {
    return this.options.model;
  }

  /** Listens on a free port and returns it. */
  async start(): Promise<number> {
    const address = {host: '127.0.0.1', port: 0};
    const listener = await HttpListener.listen(this.createApp(), address);
    if (listener.isErr()) throw new Error(listener.error.message);
    this.listener = listener.value;
    this.listener.getServer().on('connection', socket => {
      this.connections++;
      this.mostConnections = Math.max(this.mostConnections, this.connections);
      socket.once('close', () => this.connections--);
    });
    return this.listener.getPort();
  }

  /** Ends the worker at once. */
  stop(): void {
    this.options.model.destroy();
    this.listener?.destroy();
  }

  /**
   * Answers a request as an upstream does, without leases or slots; the
   * benchmark compares with it.
   * @param context - Request to answer.
   */
  async answerDirectly(context: Context): Promise<Response> {
    const response = await this.runRequest(context);
    response.headers.set('x-mustardlug-outcome', 'ran');
    return response;
  }

  private createApp(): Hono {
    const {model} = this.options;
    const app = new Hono();
    app.post('/agent/v1/lease', async context => {
      const request = (await context.req.json()) as LeaseRequest;
      return model.requestLease(request).match(
        status => context.json(status),
        error => context.json({reason: error.message}, HTTP_CONFLICT),
      );
    });
    app.post('/agent/v1/release', async context => {
      const release = (await context.req.json()) as LeaseRelease;
      return model.releaseLease(release).match(
        () => context.json({}),
        error => context.json({reason: error.message}, HTTP_CONFLICT),
      );
    });
    app.post('/agent/v1/commands', async context => {
      const {epoch, commands} = (await context.req.json()) as {
        epoch: number;
        commands: WorkerCommand[];
      };
      return model.runCommands(epoch, commands).match(
        outcomes => context.json({outcomes}),
        error => context.json({reason: error.message}, HTTP_CONFLICT),
      );
    });
    app.all('*', context => this.serve(context));
    return app;
  }

  private async serve(context: Context): Promise<Response> {
    const {model} = this.options;
    const epoch = Number(context.req.header('x-lease-epoch'));
    const service = context.req.header('x-service') ?? '';
    const begun = model.beginRequest(epoch, service);
    if (begun.isErr()) {
      context.header('x-worker-refusal', begun.error.message);
      return context.json({reason: begun.error.message}, HTTP_CONFLICT);
    }
    try {
      return await this.runRequest(context);
    } finally {
      model.endRequest();
    }
  }

  private async runRequest(context: Context): Promise<Response> {
    const {clock, runs} = this.options;
    const runId = context.req.header('x-run-id') ?? '';
    const body = Buffer.from(await context.req.arrayBuffer());
    if (runId !== '') runs.addRun(runId);
    if (this.behavior.isSilent) await new Promise(() => undefined);
    await clock.sleep(this.getServiceTimeMs());
    if (this.behavior.failsRequests) return context.text('failed\n', 500);
    const answer = createAnswer(context, body);
    return new Response(answer, {
      headers: {
        'content-type': 'application/octet-stream',
        'x-answer-for': runId,
        'x-body-digest': createHash('sha256').update(body).digest('hex'),
        'x-answer-bytes': String(answer.length),
      },
    });
  }

  private getServiceTimeMs(): number {
    const {model, random, serviceTimeMs} = this.options;
    const factor =
      this.behavior.slowFactor * model.getServiceSlowdown() * serviceTimeMs;
    return (
      factor * MIN_TIME_FRACTION +
      random.getExponential(factor * (1 - MIN_TIME_FRACTION))
    );
  }
}

/** Echoes the body; a query `bytes=N` asks for an answer of that size. */
function createAnswer(context: Context, body: Buffer): Buffer {
  const wanted = context.req.query('bytes');
  if (wanted !== undefined) return Buffer.alloc(Number(wanted), 'r');
  return body.length > 0 ? body : Buffer.alloc(DEFAULT_ANSWER_BYTES, 'r');
}
