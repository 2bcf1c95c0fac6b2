/** Queues the requests of one service and sends them to leased workers. */

import {Clock, Timer} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {ServiceDeclaration} from '@mustardlug/document/environment_document';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {RequestMessage, ServiceLoad} from '@mustardlug/protocol/messages';
import {
  createEmptyResponse,
  WholeRequest,
  WholeResponse,
} from '@mustardlug/protocol/peer_channel';
import {AdmissionQueue, QueuedRequest} from './admission_queue.js';
import {RetryBudget} from './retry_budget.js';
import {SlotEntry, SlotTable} from './slot_table.js';
import {Upstream, UpstreamResult} from './upstream.js';
import {OutlierTracker} from '@mustardlug/base/outlier_tracker';

/** Receives what operators should know. */
export interface HolderObserver {
  /** A request goes to an upstream now. */
  onDispatched(id: string, workerId: string): void;
  /** An upstream was set aside or restored. */
  onHealthChange(workerId: string, isAside: boolean): void;
  /** An upstream connection made no progress in time. */
  onSilent(workerId: string): void;
}

/** Options of a service holder. */
export interface ServiceHolderOptions {
  readonly service: ServiceDeclaration;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly upstream: Upstream;
  readonly retryBudget: RetryBudget;
  readonly observer: HolderObserver;
}

interface PendingRequest extends QueuedRequest {
  readonly request: WholeRequest;
  readonly resolve: (response: WholeResponse) => void;
  readonly refusedBy: Set<string>;
  expiry: Timer | undefined;
}

const MAX_ASIDE_FRACTION = 0.3;
const MAX_LOCAL_TRIES = 3;
const INITIAL_LATENCY_FRACTION = 0.02;
const SERVER_ERROR_STATUS = 500;
const RETRY_AFTER_LOST_MS = 1_000;
const PROBE_INTERVAL_MS = 250;
const SERVICE_UNAVAILABLE_STATUS = 503;
const GATEWAY_TIMEOUT_STATUS = 504;

/** Statuses with which an upstream says that it did not do the work. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

/** Holder of the leased workers of one service. */
export class ServiceHolder {
  private readonly queue: AdmissionQueue<PendingRequest>;
  private readonly health: OutlierTracker;
  private readonly slotTable: SlotTable;
  private readonly queued = new Map<string, PendingRequest>();
  private sequence = 0;
  private probeTimer: Timer | undefined;

  private constructor(private readonly options: ServiceHolderOptions) {
    const {clock, random, service} = options;
    this.queue = AdmissionQueue.create(clock);
    this.health = OutlierTracker.create({
      clock,
      maxAsideFraction: MAX_ASIDE_FRACTION,
    });
    this.slotTable = SlotTable.create({
      serviceName: service.name,
      random,
      health: this.health,
      initialLatencyMs: service.deadlineMs * INITIAL_LATENCY_FRACTION,
    });
  }

  /**
   * Creates a holder without workers.
   * @param options - Service, clock, random numbers, upstream and observer.
   */
  static create(options: ServiceHolderOptions): ServiceHolder {
    return new ServiceHolder(options);
  }

  /**
   * Takes in a lease that was granted or renewed.
   * @param lease - Lease of the worker.
   */
  setWorker(lease: WorkerLease): void {
    this.slotTable.setWorker(lease);
    this.dispatchQueued();
  }

  /**
   * Removes a worker whose lease was lost.
   * @param workerId - Id of the worker.
   */
  removeWorker(workerId: string): void {
    this.slotTable.removeWorker(workerId);
    this.refuseIfWithoutWorkers();
  }

  /** Gets the load that answers and heartbeats carry. */
  getLoad(): ServiceLoad {
    const totals = this.slotTable.getTotals();
    return {
      service: this.options.service.name,
      slots: totals.slots,
      inProgress: totals.inProgress,
      queued: this.queue.getSize(),
    };
  }

  /**
   * Runs a request on a worker, or refuses it.
   * @param request - Whole request.
   */
  runRequest(request: WholeRequest): Promise<WholeResponse> {
    const {clock, retryBudget} = this.options;
    retryBudget.addRequest();
    const deadlineMs = clock.getMonotonicMs() + request.head.remainingMs;
    const admission = this.queue.getAdmission(deadlineMs, this.getRate());
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
        refusedBy: new Set(),
        expiry: undefined,
      };
      this.enqueue(pending);
    });
  }

  /**
   * Drops a request that is still queued; one that was sent goes on.
   * @param id - Id of the request.
   */
  cancelRequest(id: string): void {
    const pending = this.queued.get(id);
    if (pending !== undefined)
      this.refuse(pending, 'cancelled by its caller', 0);
  }

  private getRate() {
    const totals = this.slotTable.getTotals();
    return {...totals, typicalLatencyMs: this.slotTable.getTypicalLatencyMs()};
  }

  private enqueue(pending: PendingRequest): void {
    this.queue.addRequest(pending);
    this.queued.set(pending.id, pending);
    const remainingMs =
      pending.deadlineMs - this.options.clock.getMonotonicMs();
    pending.expiry = this.options.clock.setTimer(remainingMs, () =>
      this.refuse(pending, 'no slot was free before the deadline', 0),
    );
    this.dispatchQueued();
  }

  private dequeue(pending: PendingRequest): boolean {
    pending.expiry?.cancel();
    this.queued.delete(pending.id);
    return this.queue.removeRequest(pending);
  }

  private dispatchQueued(): void {
    for (;;) {
      const pending = this.queue.getFirst();
      if (pending === undefined) return;
      const slot = this.slotTable.takeSlot(pending.refusedBy);
      if (slot === undefined) {
        this.scheduleProbe();
        return;
      }
      this.dequeue(pending);
      void this.dispatch(pending, slot);
    }
  }

  /** Requests may wait for an upstream that is set aside; look again later. */
  private scheduleProbe(): void {
    if (this.probeTimer !== undefined) return;
    this.probeTimer = this.options.clock.setTimer(PROBE_INTERVAL_MS, () => {
      this.probeTimer = undefined;
      this.dispatchQueued();
    });
  }

  private async dispatch(
    pending: PendingRequest,
    slot: SlotEntry,
  ): Promise<void> {
    const {clock, service, upstream, observer} = this.options;
    const {head, body} = pending.request;
    const workerId = slot.lease.address.workerId;
    const startedMs = clock.getMonotonicMs();
    const timeoutMs = Math.min(
      service.upstreamTimeoutMs,
      pending.deadlineMs - startedMs,
    );
    observer.onDispatched(head.id, workerId);
    const {id, method, path, headers} = head;
    const result = await upstream.send(slot.lease, {
      id,
      service: service.name,
      method,
      path,
      headers,
      body,
      timeoutMs,
    });
    this.noteResult(slot, result, clock.getMonotonicMs() - startedMs);
    this.finish(pending, workerId, result);
    this.dispatchQueued();
  }

  private noteResult(
    slot: SlotEntry,
    result: UpstreamResult,
    latencyMs: number,
  ): void {
    const workerId = slot.lease.address.workerId;
    switch (result.kind) {
      case 'answered':
        this.slotTable.releaseSlot(slot, latencyMs);
        this.noteHealth(workerId, result.status >= SERVER_ERROR_STATUS);
        return;
      case 'not-run':
        this.slotTable.releaseSlot(slot, undefined);
        if (result.isFault) this.noteHealth(workerId, true);
        return;
      case 'unknown':
        this.slotTable.abandonSlot(slot);
        this.noteHealth(workerId, true);
        if (result.isSilent) this.options.observer.onSilent(workerId);
        return;
    }
  }

  private noteHealth(workerId: string, isFailure: boolean): void {
    const change = this.health.noteResult(workerId, isFailure);
    if (change === 'unchanged') return;
    this.options.observer.onHealthChange(workerId, change === 'set-aside');
  }

  private finish(
    pending: PendingRequest,
    workerId: string,
    result: UpstreamResult,
  ): void {
    if (this.mayRetry(pending, result)) {
      pending.refusedBy.add(workerId);
      if (this.retry(pending)) return;
    }
    pending.resolve(
      this.createResponse(pending.request.head, workerId, result),
    );
  }

  private mayRetry(pending: PendingRequest, result: UpstreamResult): boolean {
    if (pending.refusedBy.size + 1 >= MAX_LOCAL_TRIES) return false;
    if (result.kind === 'not-run') return true;
    if (!pending.request.head.isReadOnly) return false;
    return result.kind === 'unknown' || RETRYABLE_STATUSES.has(result.status);
  }

  private retry(pending: PendingRequest): boolean {
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

  private refuseIfWithoutWorkers(): void {
    if (this.slotTable.getTotals().slots > 0) return;
    for (const pending of [...this.queued.values()]) {
      const reason = 'the leases of all upstreams here were lost';
      this.refuse(pending, reason, RETRY_AFTER_LOST_MS);
    }
  }

  private createRefusal(
    head: RequestMessage,
    reason: string,
    retryAfterMs: number,
  ): WholeResponse {
    return createEmptyResponse({
      ...this.getAnswerLoad(),
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
  ): WholeResponse {
    if (result.kind === 'not-run') {
      return this.createRefusal(head, result.reason, RETRY_AFTER_LOST_MS);
    }
    const common = {...this.getAnswerLoad(), id: head.id, workerId};
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

  private getAnswerLoad() {
    const {slots, inProgress, queued} = this.getLoad();
    return {slots, inProgress, queued};
  }
}
