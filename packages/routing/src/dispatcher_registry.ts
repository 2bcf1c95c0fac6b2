/** Local dispatchers of all services of the document, with deduplication of requests by id. */

import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {EnvironmentDocument} from '@mustardlug/document/environment_document';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {ServiceLoad} from '@mustardlug/protocol/messages';
import {
  createEmptyResponse,
  RequestStatus,
  BufferedRequest,
  BufferedResponse,
} from '@mustardlug/protocol/peer_channel';
import {RequestTracker} from './request_tracker.js';
import {DEFAULT_RETRY_BUDGET, RetryBudget} from './retry_budget.js';
import {DispatchObserver, ServiceDispatcher} from './service_dispatcher.js';
import {Upstream} from './upstream.js';

export interface DispatcherRegistryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly upstream: Upstream;
  readonly observer: DispatchObserver;
}

const SERVICE_UNAVAILABLE_STATUS = 503;
const RETRY_AFTER_MS = 2_000;

/** Runs requests on the workers that this process holds leases for. */
export class DispatcherRegistry {
  private readonly dispatchers = new Map<string, ServiceDispatcher>();
  private readonly leases = new Map<string, WorkerLease>();
  private readonly requestTracker: RequestTracker;
  private leavingWorkers: ReadonlySet<string> = new Set();
  private suspensionReason: string | undefined;
  private readonly running = new Map<string, Promise<BufferedResponse>>();

  private constructor(private readonly options: DispatcherRegistryOptions) {
    this.requestTracker = RequestTracker.create(options.clock);
  }

  /** Creates a registry without services. */
  static create(options: DispatcherRegistryOptions): DispatcherRegistry {
    return new DispatcherRegistry(options);
  }

  /**
   * Applies a document. Dispatchers of unchanged services are kept with their queues.
   * @param document - Document in force.
   * @param previous - Document that was in force before.
   */
  setDocument(
    document: EnvironmentDocument,
    previous: EnvironmentDocument | undefined,
  ): void {
    const unchanged = new Set(
      (previous?.services ?? []).map(service => JSON.stringify(service)),
    );
    const names = new Set(document.services.map(service => service.name));
    for (const name of this.dispatchers.keys()) {
      if (!names.has(name)) this.dispatchers.delete(name);
    }
    for (const service of document.services) {
      const isUnchanged =
        this.dispatchers.has(service.name) &&
        unchanged.has(JSON.stringify(service));
      if (isUnchanged) continue;
      const {clock, random, upstream, observer} = this.options;
      const dispatcher = ServiceDispatcher.create({
        service,
        clock,
        random,
        upstream,
        observer,
        retryBudget: RetryBudget.create(DEFAULT_RETRY_BUDGET),
      });
      dispatcher.setSuspension(this.suspensionReason);
      this.dispatchers.set(service.name, dispatcher);
      for (const lease of this.leases.values()) this.setWorker(lease);
    }
  }

  /**
   * Adds the worker of a granted lease, or updates it after a renewal.
   * @param lease - Lease of the worker.
   */
  setWorker(lease: WorkerLease): void {
    const {workerId} = lease.address;
    this.leases.set(workerId, lease);
    if (this.leavingWorkers.has(workerId)) return;
    for (const dispatcher of this.dispatchers.values())
      dispatcher.setWorker(lease);
  }

  /**
   * Sets the workers that the platform lists as leaving; they receive no new requests.
   * @param workerIds - Ids of the workers.
   */
  setLeavingWorkers(workerIds: readonly string[]): void {
    this.leavingWorkers = new Set(workerIds);
    for (const workerId of workerIds) {
      for (const dispatcher of this.dispatchers.values())
        dispatcher.removeWorker(workerId);
    }
  }

  /**
   * Suspends or resumes the dispatch of requests to all workers. Leases and what
   * was learned about the workers are kept; requests in progress continue.
   * @param reason - Why no request is dispatched, or `undefined` to resume.
   */
  setSuspension(reason: string | undefined): void {
    this.suspensionReason = reason;
    for (const dispatcher of this.dispatchers.values())
      dispatcher.setSuspension(reason);
  }

  /**
   * Removes a worker whose lease was lost.
   * @param workerId - Id of the worker.
   */
  removeWorker(workerId: string): void {
    this.leases.delete(workerId);
    for (const dispatcher of this.dispatchers.values())
      dispatcher.removeWorker(workerId);
  }

  getLoads(): ServiceLoad[] {
    return [...this.dispatchers.values()].map(dispatcher =>
      dispatcher.getLoad(),
    );
  }

  /**
   * Gets the load of a service; `undefined` if the document does not declare it.
   * @param service - Name of the service.
   */
  getLoad(service: string): ServiceLoad | undefined {
    return this.dispatchers.get(service)?.getLoad();
  }

  /** Gets the number of requests in progress. */
  getRunningCount(): number {
    return this.running.size;
  }

  /**
   * Runs a request on a worker, or refuses it. A request with a known id does
   * not run again but gets the response of the first one.
   * @param request - Request with its complete body.
   */
  runRequest(request: BufferedRequest): Promise<BufferedResponse> {
    const {id} = request.head;
    const running = this.running.get(id);
    if (running !== undefined) return running;
    if (!this.requestTracker.addRequest(id))
      return Promise.resolve(this.createDuplicateResponse(id));
    const response = this.runNewRequest(request).finally(() => {
      this.running.delete(id);
    });
    this.running.set(id, response);
    return response;
  }

  private async runNewRequest(
    request: BufferedRequest,
  ): Promise<BufferedResponse> {
    const {id, service} = request.head;
    const dispatcher = this.dispatchers.get(service);
    const response =
      dispatcher === undefined
        ? createUndeclaredServiceResponse(id, service)
        : await dispatcher.runRequest(request);
    this.requestTracker.addResponse(id, response);
    return response;
  }

  /** Answers a duplicate of a request that has ended; the request is not run again. */
  private createDuplicateResponse(id: string): BufferedResponse {
    const known = this.requestTracker.getKnownRequest(id);
    if (known.state === 'answered') return known.response;
    return createErrorResponse(
      id,
      'unknown',
      'the request has ended, and its response is no longer retained',
    );
  }

  /**
   * Cancels a queued request; a request that was dispatched continues.
   * @param id - Id of the request.
   */
  cancelRequest(id: string): void {
    for (const dispatcher of this.dispatchers.values())
      dispatcher.cancelRequest(id);
  }

  /**
   * Gets the state of a request that a peer queries.
   * @param id - Id of the request.
   */
  getKnownRequest(id: string): RequestStatus {
    return this.requestTracker.getKnownRequest(id);
  }
}

function createUndeclaredServiceResponse(
  id: string,
  service: string,
): BufferedResponse {
  const reason = `service ${service} is not declared in the document in force on this node`;
  return createErrorResponse(id, 'not-run', reason);
}

function createErrorResponse(
  id: string,
  outcome: 'not-run' | 'unknown',
  reason: string,
): BufferedResponse {
  return createEmptyResponse({
    id,
    outcome,
    status: SERVICE_UNAVAILABLE_STATUS,
    reason,
    retryAfterMs: RETRY_AFTER_MS,
    workerId: '',
    slots: 0,
    inProgress: 0,
    queued: 0,
  });
}
