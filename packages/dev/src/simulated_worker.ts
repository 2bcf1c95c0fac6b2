/** Simulated worker over HTTP: its agent and the upstreams that run on it. */

import {createHash} from 'node:crypto';
import {Context, Hono} from 'hono';
import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {HttpListener} from '@mustardlug/runtime/http_listener';
import {
  LeaseRelease,
  LeaseRequest,
  LeaseToken,
  WorkerCommand,
} from '@mustardlug/platform/worker_client';
import {WorkerModel} from '@mustardlug/standins/worker_model';
import {RunRecorder} from './run_recorder.js';

/** Behavior of the upstreams on a worker, adjustable at run time. */
export interface UpstreamBehavior {
  /** Multiplier of the service time. */
  slowFactor: number;
  /** Whether requests are accepted and never answered. */
  isSilent: boolean;
  /** Whether requests are answered with status 500. */
  failsRequests: boolean;
}

/** Options of a simulated worker. */
export interface SimulatedWorkerOptions {
  readonly model: WorkerModel;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly runRecorder: RunRecorder;
  /** Mean service time of a request. */
  readonly serviceTimeMs: number;
}

const HTTP_CONFLICT = 409;
/** Constant part of the mean service time; the rest is exponentially distributed. */
const MIN_SERVICE_TIME_FRACTION = 0.4;
const DEFAULT_RESPONSE_BYTES = 256;

/** HTTP server of one simulated worker. */
export class SimulatedWorker {
  /** Current behavior; can be changed at any time. */
  readonly behavior: UpstreamBehavior = {
    slowFactor: 1,
    isSilent: false,
    failsRequests: false,
  };
  /** Maximum number of connections open at once, including those to the agent. */
  peakConnections = 0;
  private openConnections = 0;
  private listener: HttpListener | undefined;

  private constructor(private readonly options: SimulatedWorkerOptions) {}

  /**
   * Creates a worker. It listens once `start` is called.
   * @param options - Model, clock and service time.
   */
  static create(options: SimulatedWorkerOptions): SimulatedWorker {
    return new SimulatedWorker(options);
  }

  /** Gets the model of the worker agent's state. */
  getModel(): WorkerModel {
    return this.options.model;
  }

  /** Starts listening on a free port and returns the port. */
  async start(): Promise<number> {
    const address = {host: '127.0.0.1', port: 0};
    const listener = await HttpListener.listen(this.createApp(), address);
    if (listener.isErr()) throw new Error(listener.error.message);
    this.listener = listener.value;
    this.listener.getServer().on('connection', socket => {
      this.openConnections++;
      this.peakConnections = Math.max(
        this.peakConnections,
        this.openConnections,
      );
      socket.once('close', () => this.openConnections--);
    });
    return this.listener.getPort();
  }

  /** Stops the worker and closes all connections immediately. */
  stop(): void {
    this.options.model.destroy();
    this.listener?.destroy();
  }

  /**
   * Handles a request without leases or slots, as the baseline of the latency
   * benchmark.
   * @param context - Request to handle.
   */
  async handleDirectRequest(context: Context): Promise<Response> {
    const response = await this.executeRequest(context);
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
      const {commands, ...token} = (await context.req.json()) as LeaseToken & {
        commands: WorkerCommand[];
      };
      return model.runCommands(token, commands).match(
        outcomes => context.json({outcomes}),
        error => context.json({reason: error.message}, HTTP_CONFLICT),
      );
    });
    app.all('*', context => this.handleLeasedRequest(context));
    return app;
  }

  private async handleLeasedRequest(context: Context): Promise<Response> {
    const {model} = this.options;
    const token: LeaseToken = {
      bootId: context.req.header('x-lease-boot'),
      epoch: Number(context.req.header('x-lease-epoch')),
    };
    const service = context.req.header('x-service') ?? '';
    const admission = model.beginRequest(token, service);
    if (admission.isErr()) {
      context.header('x-worker-refusal', admission.error.message);
      return context.json({reason: admission.error.message}, HTTP_CONFLICT);
    }
    try {
      return await this.executeRequest(context);
    } finally {
      model.endRequest();
    }
  }

  private async executeRequest(context: Context): Promise<Response> {
    const {clock, runRecorder} = this.options;
    const runId = context.req.header('x-run-id') ?? '';
    const body = Buffer.from(await context.req.arrayBuffer());
    if (runId !== '') runRecorder.recordRun(runId);
    if (this.behavior.isSilent) await new Promise(() => undefined);
    await clock.sleep(this.sampleServiceTimeMs());
    if (this.behavior.failsRequests) return context.text('failed\n', 500);
    const responseBody = createResponseBody(context, body);
    return new Response(responseBody, {
      headers: {
        'content-type': 'application/octet-stream',
        'x-answer-for': runId,
        'x-body-digest': createHash('sha256').update(body).digest('hex'),
        'x-answer-bytes': String(responseBody.length),
      },
    });
  }

  private sampleServiceTimeMs(): number {
    const {model, random, serviceTimeMs} = this.options;
    const meanMs =
      this.behavior.slowFactor * model.getServiceSlowdown() * serviceTimeMs;
    return (
      meanMs * MIN_SERVICE_TIME_FRACTION +
      random.getExponential(meanMs * (1 - MIN_SERVICE_TIME_FRACTION))
    );
  }
}

/** Echoes the request body; the query parameter `bytes` requests a body of that size instead. */
function createResponseBody(context: Context, body: Buffer): Buffer {
  const byteCount = context.req.query('bytes');
  if (byteCount !== undefined) return Buffer.alloc(Number(byteCount), 'r');
  return body.length > 0 ? body : Buffer.alloc(DEFAULT_RESPONSE_BYTES, 'r');
}
