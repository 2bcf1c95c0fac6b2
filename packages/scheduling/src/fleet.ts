/** Snapshot of the VMs and schedulers known to a task scheduler. */

import {getPreferenceRank} from '@mustardlug/membership/rendezvous';
import {Vm} from '@mustardlug/platform/vm_list';
import {ResourceAmount} from './worker_view.js';

/** Whether a failure domain takes new work; `unknown` before the evacuated domains have been read. */
export type DomainService = 'in-service' | 'evacuated' | 'unknown';

/** Latest VM list and evacuations of all failure domains, and the schedulers of this scheduler's domain. */
export class Fleet {
  private vms: ReadonlyMap<string, Vm> = new Map();
  private schedulers: readonly string[] = [];
  private workersByDomain: ReadonlyMap<string, number> = new Map();
  private workerSizes: readonly ResourceAmount[] = [];
  private readonly ranks = new Map<string, number>();
  private evacuatedDomains: ReadonlySet<string> | undefined;

  private constructor(
    private readonly schedulerId: string,
    private readonly failureDomain: string,
  ) {}

  /**
   * Creates an empty fleet.
   * @param schedulerId - Id of this scheduler.
   * @param failureDomain - Its failure domain.
   */
  static create(schedulerId: string, failureDomain: string): Fleet {
    return new Fleet(schedulerId, failureDomain);
  }

  /**
   * Updates the VMs and the schedulers of this scheduler's domain.
   * @param vms - All VMs.
   * @param schedulers - Ids of the live schedulers, in order.
   */
  setVms(vms: readonly Vm[], schedulers: readonly string[]): void {
    this.vms = new Map(vms.map(vm => [vm.id, vm]));
    this.schedulers = schedulers;
    this.workersByDomain = countWorkers(vms);
    this.workerSizes = getDistinctSizes(vms);
    this.ranks.clear();
  }

  /**
   * Sets the evacuated failure domains.
   * @param domains - Names of the domains.
   */
  setEvacuatedDomains(domains: readonly string[]): void {
    this.evacuatedDomains = new Set(domains);
  }

  /** Gets whether this scheduler's domain takes new work. */
  getOwnDomainService(): DomainService {
    if (this.evacuatedDomains === undefined) return 'unknown';
    return this.evacuatedDomains.has(this.failureDomain)
      ? 'evacuated'
      : 'in-service';
  }

  /** Gets the names of the evacuated failure domains that have workers, sorted. */
  getEvacuatedDomains(): string[] {
    return this.getFailureDomains().filter(domain =>
      this.evacuatedDomains?.has(domain),
    );
  }

  /** Gets the names of the failure domains that new tasks are distributed to; all if none is in service. */
  getTaskDomains(): string[] {
    return getDomainsInService(
      this.getFailureDomains(),
      this.evacuatedDomains ?? new Set(),
    );
  }

  /** Checks whether a VM list with at least one VM has been set. */
  hasVms(): boolean {
    return this.vms.size > 0;
  }

  /**
   * Gets a VM by its id.
   * @param id - Id of the VM.
   */
  getVm(id: string): Vm | undefined {
    return this.vms.get(id);
  }

  /**
   * Checks whether this scheduler's domain has a worker that stays and matches a filter.
   * @param isMatch - Filter.
   */
  hasWorker(isMatch: (vm: Vm) => boolean): boolean {
    for (const vm of this.vms.values()) {
      if (vm.role !== 'worker' || vm.state !== 'live') continue;
      if (vm.failureDomain === this.failureDomain && isMatch(vm)) return true;
    }
    return false;
  }

  /** Gets the number of workers of each failure domain. */
  getWorkersByDomain(): ReadonlyMap<string, number> {
    return this.workersByDomain;
  }

  /** Gets the names of the failure domains that have workers, sorted. */
  getFailureDomains(): string[] {
    return [...this.workersByDomain.keys()].sort();
  }

  /** Gets the distinct worker sizes in the fleet. */
  getWorkerSizes(): readonly ResourceAmount[] {
    return this.workerSizes;
  }

  /**
   * Gets the fraction of all workers that are in this scheduler's domain; 1 if
   * there are no workers.
   */
  getOwnDomainFraction(): number {
    let total = 0;
    for (const count of this.workersByDomain.values()) total += count;
    const own = this.workersByDomain.get(this.failureDomain) ?? 0;
    return total === 0 ? 1 : own / total;
  }

  /** Checks whether this scheduler performs the work that only one scheduler of the domain does. */
  isFirstScheduler(): boolean {
    return this.schedulers[0] === this.schedulerId;
  }

  /**
   * Gets this scheduler's rank in the task's preference order; 0 is the preferred scheduler.
   * @param taskId - Id of the task.
   */
  getRank(taskId: string): number {
    const cached = this.ranks.get(taskId);
    if (cached !== undefined) return cached;
    const rank = getPreferenceRank(taskId, this.schedulers, this.schedulerId);
    this.ranks.set(taskId, rank);
    return rank;
  }
}

/**
 * Gets the failure domains that are not evacuated, or all if each is.
 * @param domains - Names of the domains.
 * @param evacuatedDomains - Names of the evacuated ones.
 */
export function getDomainsInService(
  domains: readonly string[],
  evacuatedDomains: ReadonlySet<string>,
): string[] {
  const inService = domains.filter(domain => !evacuatedDomains.has(domain));
  return inService.length > 0 ? inService : [...domains];
}

function countWorkers(vms: readonly Vm[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const vm of vms) {
    if (vm.role !== 'worker') continue;
    counts.set(vm.failureDomain, (counts.get(vm.failureDomain) ?? 0) + 1);
  }
  return counts;
}

function getDistinctSizes(vms: readonly Vm[]): ResourceAmount[] {
  const sizes = new Map<string, ResourceAmount>();
  for (const {role, cores, memoryMb, accelerators} of vms) {
    if (role !== 'worker') continue;
    const size = {cores, memoryMb, accelerators};
    sizes.set(`${cores}/${memoryMb}/${accelerators}`, size);
  }
  return [...sizes.values()];
}
