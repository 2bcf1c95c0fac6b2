/** Applies the evacuated failure domains to the routing of one entry process. */

import {DispatcherRegistry} from './dispatcher_registry.js';
import {HolderDirectory} from './holder_directory.js';

export interface EvacuationGateOptions {
  /** Failure domain of this process. */
  readonly failureDomain: string;
  readonly registry: DispatcherRegistry;
  readonly directory: HolderDirectory;
}

const UNKNOWN_REASON =
  'this node has just started and has not read the evacuated failure domains yet';

/**
 * Keeps requests off the upstreams of evacuated failure domains: those of the
 * own domain are not dispatched to, and holders of other domains are not chosen.
 */
export class EvacuationGate {
  private isKnown = false;

  private constructor(private readonly options: EvacuationGateOptions) {
    options.registry.setSuspension(UNKNOWN_REASON);
  }

  /**
   * Creates a gate that is closed for the own domain until the evacuated domains
   * are set or `endWait` is called.
   * @param options - Dispatchers and holders of the process.
   */
  static create(options: EvacuationGateOptions): EvacuationGate {
    return new EvacuationGate(options);
  }

  /**
   * Sets the evacuated failure domains.
   * @param domains - Names of the domains.
   */
  setEvacuatedDomains(domains: readonly string[]): void {
    const {failureDomain, registry, directory} = this.options;
    this.isKnown = true;
    directory.setEvacuatedDomains(domains);
    registry.setSuspension(
      domains.includes(failureDomain)
        ? `failure domain ${failureDomain} is evacuated`
        : undefined,
    );
  }

  /**
   * Serves without knowledge of evacuations: a failure domain that is cut off
   * from the table when a process starts still serves its callers.
   */
  endWait(): void {
    if (!this.isKnown) this.options.registry.setSuspension(undefined);
  }
}
