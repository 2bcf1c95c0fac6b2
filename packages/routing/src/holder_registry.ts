/** The holders of all services of the document, and the ledger of their requests. */

import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {EnvironmentDocument} from '@mustardlug/document/environment_document';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {ServiceLoad} from '@mustardlug/protocol/messages';
import {
  createEmptyResponse,
  KnownRequest,
  WholeRequest,
  WholeResponse,
} from '@mustardlug/protocol/peer_channel';
import {RequestLedger} from './request_ledger.js';
import {DEFAULT_RETRY_BUDGET, RetryBudget} from './retry_budget.js';
import {HolderObserver, ServiceHolder} from './service_holder.js';
import {Upstream} from './upstream.js';

/** Options of the registry. */
export interface HolderRegistryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly upstream: Upstream;
  readonly observer: HolderObserver;
}

const SERVICE_UNAVAILABLE_STATUS = 503;
const UNKNOWN_SERVICE_RETRY_AFTER_MS = 2_000;

/** Runs requests on the workers that this process holds. */
export class HolderRegistry {
  private readonly holders = new Map<string, ServiceHolder>();
  private readonly leases = new Map<string, WorkerLease>();
  private readonly ledger: RequestLedger;
  private leavingWorkers: ReadonlySet<string> = new Set();
  private readonly running = new Map<string, Promise<WholeResponse>>();

  private constructor(private readonly options: HolderRegistryOptions) {
    this.ledger = RequestLedger.create(options.clock);
  }

  /**
   * Creates a registry without services.
   * @param options - Clock, random numbers, upstream and observer.
   */
  static create(options: HolderRegistryOptions): HolderRegistry {
    return new HolderRegistry(options);
  }

  /**
   * Sets the services of a document; holders of unchanged services stay.
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
    for (const name of this.holders.keys()) {
      if (!names.has(name)) this.holders.delete(name);
    }
    for (const service of document.services) {
      const isKept =
        this.holders.has(service.name) &&
        unchanged.has(JSON.stringify(service));
      if (isKept) continue;
      const {clock, random, upstream, observer} = this.options;
      const holder = ServiceHolder.create({
        service,
        clock,
        random,
        upstream,
        observer,
        retryBudget: RetryBudget.create(DEFAULT_RETRY_BUDGET),
      });
      this.holders.set(service.name, holder);
      for (const lease of this.leases.values()) this.setWorker(lease);
    }
  }

  /**
   * Takes in a lease that was granted or renewed.
   * @param lease - Lease of the worker.
   */
  setWorker(lease: WorkerLease): void {
    const {workerId} = lease.address;
    this.leases.set(workerId, lease);
    if (this.leavingWorkers.has(workerId)) return;
    for (const holder of this.holders.values()) holder.setWorker(lease);
  }

  /**
   * Sets the workers that the platform lists as leaving; they get nothing new.
   * @param workerIds - Ids of the workers.
   */
  setLeavingWorkers(workerIds: readonly string[]): void {
    this.leavingWorkers = new Set(workerIds);
    for (const workerId of workerIds) {
      for (const holder of this.holders.values()) holder.removeWorker(workerId);
    }
  }

  /**
   * Removes a worker whose lease was lost.
   * @param workerId - Id of the worker.
   */
  removeWorker(workerId: string): void {
    this.leases.delete(workerId);
    for (const holder of this.holders.values()) holder.removeWorker(workerId);
  }

  /** Gets the load of every service. */
  getLoads(): ServiceLoad[] {
    return [...this.holders.values()].map(holder => holder.getLoad());
  }

  /**
   * Gets the load of a service, if it is declared.
   * @param service - Name of the service.
   */
  getLoad(service: string): ServiceLoad | undefined {
    return this.holders.get(service)?.getLoad();
  }

  /** Gets the number of requests in progress. */
  getRunningCount(): number {
    return this.running.size;
  }

  /**
   * Runs a request on a worker, or refuses it.
   * @param request - Whole request.
   */
  runRequest(request: WholeRequest): Promise<WholeResponse> {
    const {id} = request.head;
    const running = this.running.get(id);
    if (running !== undefined) return running;
    if (!this.ledger.addRequest(id)) return Promise.resolve(this.repeat(id));
    const response = this.runNew(request).finally(() => {
      this.running.delete(id);
    });
    this.running.set(id, response);
    return response;
  }

  private async runNew(request: WholeRequest): Promise<WholeResponse> {
    const {id, service} = request.head;
    const holder = this.holders.get(service);
    const response =
      holder === undefined
        ? createUnknownServiceRefusal(id, service)
        : await holder.runRequest(request);
    this.ledger.addResponse(id, response);
    return response;
  }

  /** Answers a request that arrived twice; it never runs again. */
  private repeat(id: string): WholeResponse {
    const known = this.ledger.getKnownRequest(id);
    if (known.state === 'answered') return known.response;
    return createRefusal(id, 'unknown', 'the answer is no longer kept');
  }

  /**
   * Drops a request that is still queued.
   * @param id - Id of the request.
   */
  cancelRequest(id: string): void {
    for (const holder of this.holders.values()) holder.cancelRequest(id);
  }

  /**
   * Gets what is known of a request.
   * @param id - Id of the request.
   */
  getKnownRequest(id: string): KnownRequest {
    return this.ledger.getKnownRequest(id);
  }
}

function createUnknownServiceRefusal(
  id: string,
  service: string,
): WholeResponse {
  const reason = `service ${service} is not in the document in force here`;
  return createRefusal(id, 'not-run', reason);
}

function createRefusal(
  id: string,
  outcome: 'not-run' | 'unknown',
  reason: string,
): WholeResponse {
  return createEmptyResponse({
    id,
    outcome,
    status: SERVICE_UNAVAILABLE_STATUS,
    reason,
    retryAfterMs: UNKNOWN_SERVICE_RETRY_AFTER_MS,
    workerId: '',
    slots: 0,
    inProgress: 0,
    queued: 0,
  });
}
