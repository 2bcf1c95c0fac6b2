/** The list of VMs that the platform provides, with a delay. */

import {Result} from 'neverthrow';
import {z} from 'zod';
import {UnavailableError} from '@mustardlug/base/errors';

const vmSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'worker']),
  region: z.string(),
  failureDomain: z.string(),
  rack: z.string(),
  state: z.enum(['live', 'leaving']),
  /** Address of the agent and services of a worker, or of the peer protocol of an entry. */
  host: z.string(),
  port: z.number().int(),
  cores: z.number().default(0),
  memoryMb: z.number().default(0),
  accelerators: z.number().default(0),
});

/** Schema of the VM list. */
export const vmSnapshotSchema = z.object({
  /** Increases with each change of the list. */
  version: z.number().int(),
  vms: z.array(vmSchema),
});

/** A listed VM. */
export type Vm = z.infer<typeof vmSchema>;
/** The list at one version. */
export type VmSnapshot = z.infer<typeof vmSnapshotSchema>;

/** Client of the VM list. */
export abstract class VmList {
  /**
   * Gets the current list.
   * @param sinceVersion - Version that the caller has.
   * @returns `undefined` if the list has not changed since that version.
   */
  abstract getSnapshot(
    sinceVersion?: number,
  ): Promise<Result<VmSnapshot | undefined, UnavailableError>>;
}
