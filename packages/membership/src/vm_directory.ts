/** The last known VM list, kept through outages of the platform. */

import {Vm, VmList, VmSnapshot} from '@mustardlug/platform/vm_list';
import {WorkerAddress} from '@mustardlug/platform/worker_client';

/** Outcome of a refresh. */
export type RefreshOutcome = 'changed' | 'unchanged' | 'failed';

/** Holds the newest VM list that was read. */
export class VmDirectory {
  private snapshot: VmSnapshot = {version: 0, vms: []};

  private constructor(private readonly vmList: VmList) {}

  /**
   * Creates an empty directory.
   * @param vmList - Client of the platform's list.
   */
  static create(vmList: VmList): VmDirectory {
    return new VmDirectory(vmList);
  }

  /** Reads the list; an older or missing answer changes nothing. */
  async refresh(): Promise<RefreshOutcome> {
    const answer = await this.vmList.getSnapshot(this.snapshot.version);
    if (answer.isErr()) return 'failed';
    if (answer.value === undefined) return 'unchanged';
    return this.offerSnapshot(answer.value) ? 'changed' : 'unchanged';
  }

  /** Gets the version of the list, 0 before the first read. */
  getVersion(): number {
    return this.snapshot.version;
  }

  /** Gets the newest list, or `undefined` before the first read. */
  getSnapshot(): VmSnapshot | undefined {
    return this.snapshot.version === 0 ? undefined : this.snapshot;
  }

  /**
   * Takes in a list from another process; an older one changes nothing.
   * @param snapshot - List to take in.
   */
  offerSnapshot(snapshot: VmSnapshot): boolean {
    if (snapshot.version <= this.snapshot.version) return false;
    this.snapshot = snapshot;
    return true;
  }

  /** Gets all entry VMs. */
  getEntries(): Vm[] {
    return this.snapshot.vms.filter(vm => vm.role === 'entry');
  }

  /**
   * Gets the worker VMs of a failure domain.
   * @param failureDomain - Name of the domain.
   */
  getWorkers(failureDomain: string): Vm[] {
    return this.snapshot.vms.filter(
      vm => vm.role === 'worker' && vm.failureDomain === failureDomain,
    );
  }

  /** Gets all worker VMs. */
  getAllWorkers(): Vm[] {
    return this.snapshot.vms.filter(vm => vm.role === 'worker');
  }

  /**
   * Gets a VM by its id.
   * @param id - Id of the VM.
   */
  getVm(id: string): Vm | undefined {
    return this.snapshot.vms.find(vm => vm.id === id);
  }
}

/**
 * Gets the address of a worker's agent.
 * @param vm - Worker VM.
 */
export function getWorkerAddress(vm: Vm): WorkerAddress {
  return {workerId: vm.id, host: vm.host, port: vm.port};
}
