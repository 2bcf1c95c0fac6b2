/** Readiness and degradations of an entry process, for the load balancer and operators. */

import {Clock} from '@mustardlug/base/clock';
import {DocumentFollower} from '@mustardlug/document/document_follower';
import {EvacuationFollower} from '@mustardlug/document/evacuation_follower';
import {VmDirectory} from '@mustardlug/membership/vm_directory';
import {HolderNetwork} from '@mustardlug/routing/request_runner';
import {PeerNetwork} from './peer_network.js';

/** Readiness that is reported to the load balancer. */
export interface Readiness {
  readonly isReady: boolean;
  /** Why the process is not ready; empty when it is. */
  readonly reason: string;
}

export interface ReadinessReporterOptions {
  readonly clock: Clock;
  readonly follower: DocumentFollower;
  readonly evacuations: EvacuationFollower;
  readonly failureDomain: string;
  readonly vmDirectory: VmDirectory;
  readonly holderNetwork: HolderNetwork;
  readonly peerNetwork: PeerNetwork;
  readonly isDraining: () => boolean;
}

/**
 * Time after the start at which a process reports ready even if services have
 * no known lease holder or the evacuated failure domains could not be read.
 */
export const MAX_WARM_UP_MS = 10_000;

/** Derives readiness and degradations from the state of the process's components. */
export class ReadinessReporter {
  private readonly createdAtMs: number;
  private hasWarmedUp = false;

  private constructor(private readonly options: ReadinessReporterOptions) {
    this.createdAtMs = options.clock.getMonotonicMs();
  }

  /**
   * Creates a reporter; the warm-up period begins now.
   * @param options - Components to inspect.
   */
  static create(options: ReadinessReporterOptions): ReadinessReporter {
    return new ReadinessReporter(options);
  }

  getReadiness(): Readiness {
    const {follower, isDraining} = this.options;
    if (isDraining()) return {isReady: false, reason: 'draining'};
    if (follower.getCurrent() === undefined) {
      return {isReady: false, reason: 'no environment document is in force'};
    }
    if (!this.options.evacuations.isKnown() && !this.isWarmUpOver()) {
      return {
        isReady: false,
        reason: 'the evacuated failure domains have not been read yet',
      };
    }
    if (!this.updateWarmUp()) {
      return {
        isReady: false,
        reason: 'no lease holder is known yet for at least one service',
      };
    }
    return {isReady: true, reason: ''};
  }

  /** Gets descriptions of all degradations, for operators. */
  getDegradations(): string[] {
    const {vmDirectory, peerNetwork, evacuations, failureDomain} = this.options;
    const degraded: string[] = [];
    const readiness = this.getReadiness();
    if (!readiness.isReady) degraded.push(readiness.reason);
    if (!evacuations.isKnown() && this.isWarmUpOver()) {
      degraded.push('the evacuated failure domains have not been read yet');
    }
    if (evacuations.getDomains().includes(failureDomain)) {
      degraded.push(`failure domain ${failureDomain} is evacuated`);
    }
    if (vmDirectory.getVersion() === 0) {
      degraded.push('the VM list has not been read yet');
    }
    for (const channel of peerNetwork.getChannels()) {
      if (channel.isLinked()) continue;
      degraded.push(`no connection to ${channel.getPeer().nodeId}`);
    }
    return degraded;
  }

  /**
   * Checks whether the process has finished warming up. A process that has just
   * started knows no lease holders and would reject requests that other entries can
   * serve. It reports ready once each service has a holder with slots, or after
   * `MAX_WARM_UP_MS`.
   */
  private updateWarmUp(): boolean {
    if (this.hasWarmedUp) return true;
    const {follower, holderNetwork} = this.options;
    const services = follower.getCurrent()?.document.services ?? [];
    const isServed = services.every(service =>
      holderNetwork
        .getCandidates(service.name)
        .some(candidate => candidate.load.slots > 0),
    );
    this.hasWarmedUp = isServed || this.isWarmUpOver();
    return this.hasWarmedUp;
  }

  private isWarmUpOver(): boolean {
    const nowMs = this.options.clock.getMonotonicMs();
    return nowMs - this.createdAtMs > MAX_WARM_UP_MS;
  }
}
