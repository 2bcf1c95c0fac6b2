/** Cache of the VM list; it remains available during outages of the platform. */

import {Vm, VmList, VmSnapshot} from '@mustardlug/platform/vm_list';
import {WorkerAddress} from '@mustardlug/platform/worker_client';

export type RefreshOutcome = 'changed' | 'unchanged' | 'failed';

/** Stores the newest known version of the VM list. */
export class VmDirectory {
  private snapshot: VmSnapshot = {version: 0, vms: []};

  private constructor(private readonly vmList: VmList) {}

  /**
   * Creates an empty directory.
   * @param vmList - Client for the platform's VM list.
   */
  static create(vmList: VmList): VmDirectory {
    return new VmDirectory(vmList);
  }

  /**
   * Reads the list from the platform. Keeps the current one if the read fails
   * or returns no newer version.
   */
  async refresh(): Promise<RefreshOutcome> {
    const result = await this.vmList.getSnapshot(this.snapshot.version);
    if (result.isErr()) return 'failed';
    if (result.value === undefined) return 'unchanged';
    return this.updateSnapshot(result.value) ? 'changed' : 'unchanged';
  }

  /** Gets the version of the list; 0 if none is known. */
  getVersion(): number {
    return this.snapshot.version;
  }

  /** Gets the list; `undefined` if none is known. */
  getSnapshot(): VmSnapshot | undefined {
    return this.snapshot.version === 0 ? undefined : this.snapshot;
  }

  /**
   * Replaces the list by one from the platform or a peer, if that is newer.
   * @param snapshot - List to apply.
   * @returns False if the list is not newer than the current one.
   */
  updateSnapshot(snapshot: VmSnapshot): boolean {
    if (snapshot.version <= this.snapshot.version) return false;
    this.snapshot = snapshot;
    return true;
  }

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

  /** Gets the worker VMs of all failure domains. */
  getAllWorkers(): Vm[] {
    return this.snapshot.vms.filter(vm => vm.role === 'worker');
  }

  /**
   * Gets a VM by id.
   * @param id - Id of the VM.
   */
  getVm(id: string): Vm | undefined {
    return this.snapshot.vms.find(vm => vm.id === id);
  }
}

/**
 * Gets the address of the agent on a worker VM.
 * @param vm - Worker VM.
 */
export function getWorkerAddress(vm: Vm): WorkerAddress {
  return {workerId: vm.id, host: vm.host, port: vm.port};
}
