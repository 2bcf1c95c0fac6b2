/** Admission, queueing, dispatch and local retries of the requests of one service. */

import {Clock, Timer} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {ServiceDeclaration} from '@mustardlug/document/environment_document';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {RequestMessage, ServiceLoad} from '@mustardlug/protocol/messages';
import {
  createEmptyResponse,
  BufferedRequest,
  BufferedResponse,
} from '@mustardlug/protocol/peer_channel';
import {AdmissionQueue, QueuedRequest} from './admission_queue.js';
import {RetryBudget} from './retry_budget.js';
import {SlotTable, UpstreamEntry} from './slot_table.js';
import {Upstream, UpstreamResult} from './upstream.js';
import {OutlierTracker} from '@mustardlug/base/outlier_tracker';

/** Receives dispatch and health events, for logs and metrics. */
export interface DispatchObserver {
  /** A request is about to be sent to an upstream. */
  onDispatched(id: string, workerId: string): void;
  /** An upstream was quarantined as an outlier, or restored. */
  onHealthChange(workerId: string, isQuarantined: boolean): void;
  /** An upstream connection made no progress in time. */
  onSilent(workerId: string): void;
  /** A request was refused because the dispatch is suspended. */
  onWithheld?(id: string): void;
}

export interface ServiceDispatcherOptions {
  readonly service: ServiceDeclaration;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly upstream: Upstream;
  readonly retryBudget: RetryBudget;
  readonly observer: DispatchObserver;
}

interface PendingRequest extends QueuedRequest {
  readonly request: BufferedRequest;
  readonly resolve: (response: BufferedResponse) => void;
  readonly attemptedWorkers: Set<string>;
  expiryTimer: Timer | undefined;
}

/** Largest fraction of the upstreams that may be quarantined as outliers. */
const MAX_QUARANTINED_FRACTION = 0.3;
const MAX_LOCAL_ATTEMPTS = 3;
/** Initial latency estimate of an upstream, as a fraction of the service's deadline. */
const INITIAL_LATENCY_FRACTION = 0.02;
const SERVER_ERROR_STATUS = 500;
const DEFAULT_RETRY_AFTER_MS = 1_000;
const DISPATCH_RETRY_INTERVAL_MS = 250;
const SERVICE_UNAVAILABLE_STATUS = 503;
const GATEWAY_TIMEOUT_STATUS = 504;

/**
 * Statuses by which an upstream signals that it did not process the request.
 * Only read-only requests are retried after them.
 */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

/** Dispatches the requests of one service to the workers whose leases this process holds. */
export class ServiceDispatcher {
  private readonly queue: AdmissionQueue<PendingRequest>;
  private readonly outlierTracker: OutlierTracker;
  private readonly slotTable: SlotTable;
  private readonly queuedById = new Map<string, PendingRequest>();
  private sequence = 0;
  private suspensionReason: string | undefined;
  private dispatchRetryTimer: Timer | undefined;

  private constructor(private readonly options: ServiceDispatcherOptions) {
    const {clock, random, service} = options;
    this.queue = AdmissionQueue.create(clock);
    this.outlierTracker = OutlierTracker.create({
      clock,
      maxQuarantinedFraction: MAX_QUARANTINED_FRACTION,
    });
    this.slotTable = SlotTable.create({
      serviceName: service.name,
      random,
      outlierTracker: this.outlierTracker,
      initialLatencyMs: service.deadlineMs * INITIAL_LATENCY_FRACTION,
    });
  }

  /** Creates a dispatcher without workers. */
  static create(options: ServiceDispatcherOptions): ServiceDispatcher {
    return new ServiceDispatcher(options);
  }

  /**
   * Adds the worker of a granted lease, or updates its slots after a renewal.
   * @param lease - Lease of the worker.
   */
  setWorker(lease: WorkerLease): void {
    this.slotTable.setWorker(lease);
    this.dispatchQueued();
  }

  /**
   * Removes a worker. Refuses all queued requests if no slots remain.
   * @param workerId - Id of the worker.
   */
  removeWorker(workerId: string): void {
    this.slotTable.removeWorker(workerId);
    this.refuseQueuedWithoutSlots();
  }

  /**
   * Suspends or resumes the dispatch. While suspended, requests are refused as
   * not run, so that their senders try other holders; those in progress continue.
   * @param reason - Why no request is dispatched, or `undefined` to resume.
   */
  setSuspension(reason: string | undefined): void {
    this.suspensionReason = reason;
    if (reason === undefined) return;
    for (const pending of [...this.queuedById.values()]) {
      this.options.observer.onWithheld?.(pending.id);
      this.refuse(pending, reason, DEFAULT_RETRY_AFTER_MS);
    }
  }

  /** Gets the load that is reported in responses and heartbeats; without slots while suspended. */
  getLoad(): ServiceLoad {
    const totals = this.slotTable.getTotals();
    return {
      service: this.options.service.name,
      slots: this.suspensionReason === undefined ? totals.slots : 0,
      inProgress: totals.inProgress,
      queued: this.queue.getSize(),
    };
  }

  /**
   * Runs a request on a worker, or refuses it.
   * @param request - Request with its complete body.
   */
  runRequest(request: BufferedRequest): Promise<BufferedResponse> {
    const {clock, retryBudget, observer} = this.options;
    if (this.suspensionReason !== undefined) {
      observer.onWithheld?.(request.head.id);
      return Promise.resolve(
        this.createRefusal(
          request.head,
          this.suspensionReason,
          DEFAULT_RETRY_AFTER_MS,
        ),
      );
    }
    retryBudget.addRequest();
    const deadlineMs = clock.getMonotonicMs() + request.head.remainingMs;
    const admission = this.queue.getAdmission(
      deadlineMs,
      this.getServingCapacity(),
    );
    if (admission.kind === 'refused') {
      return Promise.resolve(
        this.createRefusal(
          request.head,
          admission.reason,
          admission.retryAfterMs,
        ),
      );
    }
    return new Promise(resolve => {
      const pending: PendingRequest = {
        id: request.head.id,
        deadlineMs,
        sequence: this.sequence++,
        request,
        resolve,
        attemptedWorkers: new Set(),
        expiryTimer: undefined,
      };
      this.enqueue(pending);
    });
  }

  /**
   * Cancels a queued request; a request that was dispatched continues.
   * @param id - Id of the request.
   */
  cancelRequest(id: string): void {
    const pending = this.queuedById.get(id);
    if (pending !== undefined)
      this.refuse(pending, 'request cancelled by its caller', 0);
  }

  private getServingCapacity() {
    const totals = this.slotTable.getTotals();
    return {...totals, typicalLatencyMs: this.slotTable.getTypicalLatencyMs()};
  }

  private enqueue(pending: PendingRequest): void {
    this.queue.addRequest(pending);
    this.queuedById.set(pending.id, pending);
    const remainingMs =
      pending.deadlineMs - this.options.clock.getMonotonicMs();
    pending.expiryTimer = this.options.clock.setTimer(remainingMs, () =>
      this.refuse(pending, 'no slot became free before the deadline', 0),
    );
    this.dispatchQueued();
  }

  private dequeue(pending: PendingRequest): boolean {
    pending.expiryTimer?.cancel();
    this.queuedById.delete(pending.id);
    return this.queue.removeRequest(pending);
  }

  private dispatchQueued(): void {
    for (;;) {
      const pending = this.queue.getFirst(this.slotTable.getTypicalLatencyMs());
      if (pending === undefined) return;
      const entry = this.slotTable.takeSlot(pending.attemptedWorkers);
      if (entry === undefined) {
        this.scheduleDispatchRetry();
        return;
      }
      this.dequeue(pending);
      void this.dispatch(pending, entry);
    }
  }

  /**
   * Retries the dispatch on a timer: a quarantined upstream becomes usable
   * after a delay, without an event that would trigger the dispatch.
   */
  private scheduleDispatchRetry(): void {
    if (this.dispatchRetryTimer !== undefined) return;
    this.dispatchRetryTimer = this.options.clock.setTimer(
      DISPATCH_RETRY_INTERVAL_MS,
      () => {
        this.dispatchRetryTimer = undefined;
        this.dispatchQueued();
      },
    );
  }

  private async dispatch(
    pending: PendingRequest,
    entry: UpstreamEntry,
  ): Promise<void> {
    const {clock, service, upstream, observer} = this.options;
    const {head, body} = pending.request;
    const workerId = entry.lease.address.workerId;
    const startedMs = clock.getMonotonicMs();
    const timeoutMs = Math.min(
      service.upstreamTimeoutMs,
      pending.deadlineMs - startedMs,
    );
    observer.onDispatched(head.id, workerId);
    const {id, method, path, headers} = head;
    const result = await upstream.send(entry.lease, {
      id,
      service: service.name,
      method,
      path,
      headers,
      body,
      timeoutMs,
    });
    this.recordResult(entry, result, clock.getMonotonicMs() - startedMs);
    this.completeOrRetry(pending, workerId, result);
    this.dispatchQueued();
  }

  private recordResult(
    entry: UpstreamEntry,
    result: UpstreamResult,
    latencyMs: number,
  ): void {
    const workerId = entry.lease.address.workerId;
    switch (result.kind) {
      case 'answered':
        this.slotTable.releaseSlot(entry, latencyMs);
        this.recordHealth(workerId, result.status >= SERVER_ERROR_STATUS);
        return;
      case 'not-run':
        this.slotTable.releaseSlot(entry, undefined);
        if (result.isFault) this.recordHealth(workerId, true);
        return;
      case 'unknown':
        this.slotTable.abandonSlot(entry);
        this.recordHealth(workerId, true);
        if (result.isSilent) this.options.observer.onSilent(workerId);
        return;
    }
  }

  private recordHealth(workerId: string, isFailure: boolean): void {
    const change = this.outlierTracker.recordResult(workerId, isFailure);
    if (change === 'unchanged') return;
    this.options.observer.onHealthChange(workerId, change === 'quarantined');
  }

  private completeOrRetry(
    pending: PendingRequest,
    workerId: string,
    result: UpstreamResult,
  ): void {
    if (this.canRetry(pending, result)) {
      pending.attemptedWorkers.add(workerId);
      if (this.requeueForRetry(pending)) return;
    }
    pending.resolve(
      this.createResponse(pending.request.head, workerId, result),
    );
  }

  private canRetry(pending: PendingRequest, result: UpstreamResult): boolean {
    if (pending.attemptedWorkers.size + 1 >= MAX_LOCAL_ATTEMPTS) return false;
    if (result.kind === 'not-run') return true;
    if (!pending.request.head.isReadOnly) return false;
    return result.kind === 'unknown' || RETRYABLE_STATUSES.has(result.status);
  }

  private requeueForRetry(pending: PendingRequest): boolean {
    if (this.suspensionReason !== undefined) return false;
    const nowMs = this.options.clock.getMonotonicMs();
    if (pending.deadlineMs <= nowMs) return false;
    if (!this.options.retryBudget.takeRetry()) return false;
    this.enqueue(pending);
    return true;
  }

  private refuse(
    pending: PendingRequest,
    reason: string,
    retryAfterMs: number,
  ): void {
    if (!this.dequeue(pending)) return;
    const {head} = pending.request;
    pending.resolve(this.createRefusal(head, reason, retryAfterMs));
  }

  private refuseQueuedWithoutSlots(): void {
    if (this.slotTable.getTotals().slots > 0) return;
    for (const pending of [...this.queuedById.values()]) {
      const reason =
        'this node has lost the leases of all upstreams of the service';
      this.refuse(pending, reason, DEFAULT_RETRY_AFTER_MS);
    }
  }

  private createRefusal(
    head: RequestMessage,
    reason: string,
    retryAfterMs: number,
  ): BufferedResponse {
    return createEmptyResponse({
      ...this.getResponseLoad(),
      id: head.id,
      outcome: 'not-run',
      status: SERVICE_UNAVAILABLE_STATUS,
      reason,
      retryAfterMs,
      workerId: '',
    });
  }

  private createResponse(
    head: RequestMessage,
    workerId: string,
    result: UpstreamResult,
  ): BufferedResponse {
    if (result.kind === 'not-run') {
      return this.createRefusal(head, result.reason, DEFAULT_RETRY_AFTER_MS);
    }
    const common = {...this.getResponseLoad(), id: head.id, workerId};
    if (result.kind === 'unknown') {
      return createEmptyResponse({
        ...common,
        outcome: 'unknown',
        status: GATEWAY_TIMEOUT_STATUS,
        reason: result.reason,
        retryAfterMs: 0,
      });
    }
    const {status, headers, body} = result;
    return {
      head: {
        ...common,
        type: 'response',
        outcome: 'ran',
        status,
        headers,
        bodyBytes: body.length,
        reason: '',
        retryAfterMs: 0,
      },
      body,
    };
  }

  private getResponseLoad() {
    const {slots, inProgress, queued} = this.getLoad();
    return {slots, inProgress, queued};
  }
}
