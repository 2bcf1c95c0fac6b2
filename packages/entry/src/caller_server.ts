/** HTTP server for callers. */

import {Context, Hono} from 'hono';
import {Clock} from '@mustardlug/base/clock';
import {
  EnvironmentDocument,
  ServiceDeclaration,
} from '@mustardlug/document/environment_document';
import {MAX_BODY_BYTES} from '@mustardlug/protocol/messages';
import {
  CallerAnswer,
  CallerRequest,
  RequestRunner,
} from '@mustardlug/routing/request_runner';
import {filterHeaders} from './header_filter.js';
import {Readiness} from './readiness_reporter.js';

export interface CallerServerOptions {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly requestRunner: RequestRunner;
  readonly getDocument: () => EnvironmentDocument | undefined;
  readonly getReadiness: () => Readiness;
  readonly isDraining: () => boolean;
  readonly onResponse: (
    request: CallerRequest,
    response: CallerAnswer,
    durationMs: number,
  ) => void;
}

const OUTCOME_HEADER = 'x-mustardlug-outcome';
/** Header fields of refusals before a request reaches this server. */
export const REFUSAL_HEADERS = {[OUTCOME_HEADER]: 'not-run'};
const REQUEST_ID_HEADER = 'x-mustardlug-request';
const WORKER_ID_HEADER = 'x-mustardlug-worker';
const REPEATED_HEADER = 'x-mustardlug-repeated';
const DEADLINE_HEADER = 'x-deadline-ms';
const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
const MAX_IDEMPOTENCY_KEY_LENGTH = 256;
const NO_DOCUMENT_RETRY_AFTER_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** Statuses for which HTTP forbids a body. */
const NULL_BODY_STATUSES: ReadonlySet<number> = new Set([204, 205, 304]);

/** Validates callers' requests, runs them and renders the responses. */
export class CallerServer {
  private lastRequestNumber = 0;
  private activeRequestCount = 0;

  private constructor(private readonly options: CallerServerOptions) {}

  /**
   * Creates a server.
   * @param options - Request runner, document and readiness.
   */
  static create(options: CallerServerOptions): CallerServer {
    return new CallerServer(options);
  }

  /** Gets the number of callers' requests in progress. */
  getActiveRequestCount(): number {
    return this.activeRequestCount;
  }

  /** Creates the routes of the server. */
  createApp(): Hono {
    const app = new Hono();
    app.get('/-/live', context => context.text('live\n'));
    app.get('/-/ready', context => {
      const {isReady, reason} = this.options.getReadiness();
      return context.text(
        isReady ? 'ready\n' : `${reason}\n`,
        isReady ? 200 : 503,
      );
    });
    app.all('*', context => this.handleRequest(context));
    app.onError((error, context) =>
      this.renderError(context, 400, `malformed request (${error.message})`, 0),
    );
    return app;
  }

  /**
   * Gets the limit of a request's body. At paths without a service the general limit
   * applies; such bodies are not used.
   * @param url - Path and query.
   */
  getMaxBodyBytes(url: string): number {
    return this.findService(url)?.maxBodyBytes ?? MAX_BODY_BYTES;
  }

  /**
   * Checks whether a request is for a service.
   * @param url - Path and query.
   */
  hasService(url: string): boolean {
    return this.findService(url) !== undefined;
  }

  private findService(url: string): ServiceDeclaration | undefined {
    const document = this.options.getDocument();
    // A request may also name its target with scheme and host.
    const absoluteUrl = url.startsWith('/') ? `http://entry${url}` : url;
    if (document === undefined || !URL.canParse(absoluteUrl)) return undefined;
    return parseTarget(absoluteUrl, document)?.service;
  }

  private async handleRequest(context: Context): Promise<Response> {
    this.activeRequestCount++;
    try {
      return await this.runRequest(context);
    } finally {
      this.activeRequestCount--;
    }
  }

  private async runRequest(context: Context): Promise<Response> {
    const startedMs = this.options.clock.getMonotonicMs();
    const document = this.options.getDocument();
    if (document === undefined) {
      const reason = 'no environment document is in force yet';
      return this.renderError(context, 503, reason, NO_DOCUMENT_RETRY_AFTER_MS);
    }
    const target = parseTarget(context.req.url, document);
    if (target === undefined) {
      const reason = 'no such service; the path must start with /SERVICE/';
      return this.renderError(context, 404, reason, 0);
    }
    const key = context.req.header(IDEMPOTENCY_KEY_HEADER);
    if (
      key !== undefined &&
      (key === '' || key.length > MAX_IDEMPOTENCY_KEY_LENGTH)
    ) {
      const reason = `Idempotency-Key must have 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`;
      return this.renderError(context, 400, reason, 0);
    }
    const body = new Uint8Array(await context.req.arrayBuffer());
    if (body.length > target.service.maxBodyBytes) {
      return this.renderTooLarge(context, target.service.maxBodyBytes);
    }
    const request: CallerRequest = {
      id: this.createRequestId(),
      service: target.service,
      method: context.req.method,
      path: target.path,
      headers: filterHeaders(context.req.header()),
      body,
      idempotencyKey: key,
      deadlineMs: startedMs + getTimeoutMs(context, target.service),
    };
    const response = await this.options.requestRunner.runRequest(request);
    const durationMs = this.options.clock.getMonotonicMs() - startedMs;
    this.options.onResponse(request, response, durationMs);
    return this.renderResponse(request, response);
  }

  private createRequestId(): string {
    const {nodeId, incarnation} = this.options;
    return `${nodeId}/${incarnation}/${++this.lastRequestNumber}`;
  }

  private renderResponse(
    request: CallerRequest,
    response: CallerAnswer,
  ): Response {
    const headers = this.createHeaders(request.id, response);
    if (response.outcome !== 'ran') {
      headers.set('content-type', 'application/json');
      const {outcome, reason, retryAfterMs, status} = response;
      const error = {outcome, reason, retryAfterMs, requestId: request.id};
      return new Response(JSON.stringify({error}), {status, headers});
    }
    const {status} = response;
    const body = NULL_BODY_STATUSES.has(status)
      ? null
      : (response.body as Uint8Array<ArrayBuffer>);
    return new Response(body, {status, headers});
  }

  private createHeaders(requestId: string, response: CallerAnswer): Headers {
    const headers = new Headers();
    for (let index = 0; index + 1 < response.headers.length; index += 2) {
      headers.append(response.headers[index], response.headers[index + 1]);
    }
    headers.set(OUTCOME_HEADER, response.outcome);
    headers.set(REQUEST_ID_HEADER, requestId);
    if (response.workerId !== '')
      headers.set(WORKER_ID_HEADER, response.workerId);
    if (response.isRepeated) headers.set(REPEATED_HEADER, 'true');
    if (response.retryAfterMs > 0) {
      headers.set('retry-after', getRetryAfterSeconds(response.retryAfterMs));
    }
    if (this.options.isDraining()) headers.set('connection', 'close');
    return headers;
  }

  private renderTooLarge(context: Context, limitBytes: number): Response {
    const reason = `the body is larger than ${limitBytes} bytes`;
    return this.renderError(context, 413, reason, 0);
  }

  private renderError(
    context: Context,
    status: 400 | 404 | 413 | 503,
    reason: string,
    retryAfterMs: number,
  ): Response {
    context.header(OUTCOME_HEADER, 'not-run');
    if (retryAfterMs > 0) {
      context.header('retry-after', getRetryAfterSeconds(retryAfterMs));
    }
    const error = {outcome: 'not-run', reason, retryAfterMs};
    return context.json({error}, status);
  }
}

interface RequestTarget {
  readonly service: ServiceDeclaration;
  readonly path: string;
}

function parseTarget(
  url: string,
  document: EnvironmentDocument,
): RequestTarget | undefined {
  const {pathname, search} = new URL(url);
  const separator = pathname.indexOf('/', 1);
  const name = pathname.slice(1, separator < 0 ? undefined : separator);
  const service = document.services.find(candidate => candidate.name === name);
  if (service === undefined) return undefined;
  const upstreamPath = separator < 0 ? '/' : pathname.slice(separator);
  return {service, path: upstreamPath + search};
}

function getTimeoutMs(context: Context, service: ServiceDeclaration): number {
  const requestedTimeoutMs = Number(context.req.header(DEADLINE_HEADER));
  if (!Number.isFinite(requestedTimeoutMs) || requestedTimeoutMs <= 0)
    return service.deadlineMs;
  return Math.min(requestedTimeoutMs, service.deadlineMs);
}

function getRetryAfterSeconds(retryAfterMs: number): string {
  return String(Math.ceil(retryAfterMs / MS_PER_SECOND));
}
