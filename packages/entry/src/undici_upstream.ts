/** `Upstream` over HTTP/1.1, with undici. */

import {Dispatcher, Pool} from 'undici';
import {Clock} from '@mustardlug/base/clock';
import {createTimeoutSignal} from '@mustardlug/base/timeout_signal';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {LeaseToken} from '@mustardlug/platform/worker_client';
import {MAX_BODY_BYTES} from '@mustardlug/protocol/messages';
import {
  Upstream,
  UpstreamRequest,
  UpstreamResult,
} from '@mustardlug/routing/upstream';
import {ByteGate} from './byte_gate.js';
import {filterHeaders} from './header_filter.js';

const CONNECT_TIMEOUT_MS = 500;
/**
 * Short, because the peer of an idle connection may have become unreachable
 * without closing it.
 */
const KEEP_ALIVE_MS = 4_000;
const CONNECTIONS_PER_WORKER = 16;
const REFUSAL_STATUS = 409;
const REFUSAL_HEADER = 'x-worker-refusal';

/**
 * Errors that occur before any byte of a request is sent, so that the request
 * did not run.
 */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

interface WorkerPool {
  readonly pool: Pool;
  readonly token: LeaseToken;
}

/** Sends requests through one connection pool for each leased worker. */
export class UndiciUpstream extends Upstream {
  private readonly pools = new Map<string, WorkerPool>();

  private constructor(
    private readonly clock: Clock,
    private readonly responseGate: ByteGate,
  ) {
    super();
  }

  /**
   * Creates an upstream without connections.
   * @param clock - Clock for time limits.
   * @param maxResponseBytes - Maximum bytes of responses that are being received at once.
   */
  static create(clock: Clock, maxResponseBytes: number): UndiciUpstream {
    const gate = ByteGate.create(maxResponseBytes, clock);
    return new UndiciUpstream(clock, gate);
  }

  override async send(
    lease: WorkerLease,
    request: UpstreamRequest,
  ): Promise<UpstreamResult> {
    const deadlineMs = this.clock.getMonotonicMs() + request.timeoutMs;
    const signal = createTimeoutSignal(Math.max(1, request.timeoutMs));
    try {
      if (!lease.isValid()) {
        return {
          kind: 'not-run',
          reason: 'worker lease expired',
          isFault: false,
        };
      }
      const {bootId, epoch} = lease.getToken();
      const response = await this.getPool(lease).request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: [
          ...request.headers,
          'x-request-id',
          request.id,
          'x-lease-boot',
          bootId,
          'x-lease-epoch',
          String(epoch),
          'x-service',
          request.service,
        ],
        body: request.body.length > 0 ? request.body : null,
        signal,
      });
      return await this.readResponse(response, deadlineMs);
    } catch (error) {
      return toFailureResult(error as NodeJS.ErrnoException, signal.aborted);
    }
  }

  /**
   * Closes the connections to a worker; requests in progress complete first.
   * @param workerId - Id of the worker.
   */
  closePool(workerId: string): void {
    const workerPool = this.pools.get(workerId);
    if (workerPool === undefined) return;
    this.pools.delete(workerId);
    void workerPool.pool.close().catch(() => undefined);
  }

  /** Closes all connections immediately, aborting requests in progress. */
  async destroy(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(workerPool => workerPool.pool.destroy()));
  }

  private async readResponse(
    response: Dispatcher.ResponseData,
    deadlineMs: number,
  ): Promise<UpstreamResult> {
    const refusal = response.headers[REFUSAL_HEADER];
    if (response.statusCode === REFUSAL_STATUS && refusal !== undefined) {
      await response.body.dump();
      return {kind: 'not-run', reason: `worker: ${refusal}`, isFault: false};
    }
    // The time limit may abort the body while it waits, when nothing else handles the error.
    response.body.on('error', () => undefined);
    const declaredBytes = getDeclaredBytes(response);
    if (declaredBytes !== undefined && declaredBytes > MAX_BODY_BYTES) {
      response.body.destroy();
      return createTooLargeResult();
    }
    const neededBytes = declaredBytes ?? MAX_BODY_BYTES;
    const timeoutMs = deadlineMs - this.clock.getMonotonicMs();
    if (!(await this.responseGate.enter(neededBytes, timeoutMs))) {
      response.body.destroy();
      const reason =
        'the responses being received left no memory for this one before the time-out';
      return {kind: 'unknown', reason, isSilent: false};
    }
    try {
      return await readBody(response, declaredBytes);
    } finally {
      this.responseGate.leave(neededBytes);
    }
  }

  private getPool(lease: WorkerLease): Pool {
    const {workerId, host, port} = lease.address;
    const token = lease.getToken();
    const existing = this.pools.get(workerId);
    const isSameLease =
      existing?.token.bootId === token.bootId &&
      existing.token.epoch === token.epoch;
    if (isSameLease) return existing.pool;
    this.closePool(workerId);
    const pool = new Pool(`http://${host}:${port}`, {
      connections: CONNECTIONS_PER_WORKER,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.pools.set(workerId, {pool, token});
    return pool;
  }
}

function getDeclaredBytes(
  response: Dispatcher.ResponseData,
): number | undefined {
  const declared = response.headers['content-length'];
  return declared === undefined ? undefined : Number(declared);
}

/** Reads a body, into one buffer if its length is known, so that there is no second copy. */
async function readBody(
  response: Dispatcher.ResponseData,
  declaredBytes: number | undefined,
): Promise<UpstreamResult> {
  const chunks: Buffer[] = [];
  const whole = Buffer.allocUnsafe(declaredBytes ?? 0);
  let receivedBytes = 0;
  for await (const chunk of response.body) {
    const piece = chunk as Buffer;
    if (receivedBytes + piece.length > (declaredBytes ?? MAX_BODY_BYTES)) {
      response.body.destroy();
      return createTooLargeResult();
    }
    if (declaredBytes === undefined) chunks.push(piece);
    else piece.copy(whole, receivedBytes);
    receivedBytes += piece.length;
  }
  const body =
    declaredBytes === undefined
      ? Buffer.concat(chunks)
      : whole.subarray(0, receivedBytes);
  return {
    kind: 'answered',
    status: response.statusCode,
    headers: filterHeaders(response.headers),
    body,
  };
}

function createTooLargeResult(): UpstreamResult {
  const reason = `the upstream's response is larger than ${MAX_BODY_BYTES} bytes`;
  return {kind: 'unknown', reason, isSilent: false};
}

function toFailureResult(
  error: NodeJS.ErrnoException,
  hasTimedOut: boolean,
): UpstreamResult {
  if (error.code !== undefined && CONNECT_ERROR_CODES.has(error.code)) {
    const reason = `connecting to the upstream failed (${error.code})`;
    return {kind: 'not-run', reason, isFault: true};
  }
  const reason = hasTimedOut
    ? 'the upstream did not respond before the time-out'
    : `the connection to the upstream failed (${error.message})`;
  return {kind: 'unknown', reason, isSilent: hasTimedOut};
}
