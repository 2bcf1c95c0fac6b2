/** VM list in memory. */

import {ok, Result} from 'neverthrow';
import {UnavailableError} from '@mustardlug/base/errors';
import {Vm, VmList, VmSnapshot} from '@mustardlug/platform/vm_list';

/** VM list whose VMs tests set; each change increases its version. */
export class MemoryVmList extends VmList {
  private snapshot: VmSnapshot = {version: 0, vms: []};

  private constructor() {
    super();
  }

  /**
   * Creates a list of workers of equal size.
   * @param failureDomains - Failure domain of each worker.
   */
  static create(failureDomains: readonly string[]): MemoryVmList {
    const list = new MemoryVmList();
    list.setWorkers(failureDomains);
    return list;
  }

  /**
   * Replaces all VMs by workers of equal size.
   * @param failureDomains - Failure domain of each worker.
   */
  setWorkers(failureDomains: readonly string[]): void {
    const vms = failureDomains.map((failureDomain, index): Vm => ({
      id: `worker-${index}`,
      role: 'worker',
      region: 'region-a',
      failureDomain,
      rack: 'rack-a',
      state: 'live',
      host: 'none',
      port: 1,
      cores: 8,
      memoryMb: 8_000,
      accelerators: 0,
    }));
    this.snapshot = {version: this.snapshot.version + 1, vms};
  }

  override getSnapshot(
    sinceVersion = 0,
  ): Promise<Result<VmSnapshot | undefined, UnavailableError>> {
    const {snapshot} = this;
    const isNewer = snapshot.version > sinceVersion;
    return Promise.resolve(ok(isNewer ? snapshot : undefined));
  }
}
