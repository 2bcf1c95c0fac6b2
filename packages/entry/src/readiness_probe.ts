/** Whether an entry process is ready, and what is degraded. */

import {Clock} from '@mustardlug/base/clock';
import {DocumentFollower} from '@mustardlug/document/document_follower';
import {VmDirectory} from '@mustardlug/membership/vm_directory';
import {HolderNetwork} from '@mustardlug/routing/request_runner';
import {PeerNetwork} from './peer_network.js';

/** Readiness as the balancer sees it. */
export interface Readiness {
  readonly isReady: boolean;
  /** Reason when not ready. */
  readonly reason: string;
}

/** Parts of the process that the probe looks at. */
export interface ReadinessProbeOptions {
  readonly clock: Clock;
  readonly follower: DocumentFollower;
  readonly directory: VmDirectory;
  readonly network: HolderNetwork;
  readonly peers: PeerNetwork;
  readonly isDraining: () => boolean;
}

/** Longest time for which a started process waits for holders. */
const MAX_WARM_UP_MS = 10_000;

/** Looks at the parts of a process. */
export class ReadinessProbe {
  private readonly createdAtMs: number;
  private hasBeenWarm = false;

  private constructor(private readonly options: ReadinessProbeOptions) {
    this.createdAtMs = options.clock.getMonotonicMs();
  }

  /**
   * Creates a probe of a process that starts now.
   * @param options - Parts to look at.
   */
  static create(options: ReadinessProbeOptions): ReadinessProbe {
    return new ReadinessProbe(options);
  }

  /** Gets the readiness. */
  getReadiness(): Readiness {
    const {follower, isDraining} = this.options;
    if (isDraining()) return {isReady: false, reason: 'draining'};
    if (follower.getCurrent() === undefined) {
      return {isReady: false, reason: 'no environment document is in force'};
    }
    if (!this.isWarm()) {
      return {isReady: false, reason: 'no holder of a service is known yet'};
    }
    return {isReady: true, reason: ''};
  }

  /** Gets what is degraded, in words for operators. */
  getDegradations(): string[] {
    const {directory, peers} = this.options;
    const degraded: string[] = [];
    const readiness = this.getReadiness();
    if (!readiness.isReady) degraded.push(readiness.reason);
    if (directory.getVersion() === 0) {
      degraded.push('the VM list was never read');
    }
    for (const channel of peers.getChannels()) {
      if (channel.isLinked()) continue;
      degraded.push(`no connection to ${channel.getPeer().nodeId}`);
    }
    return degraded;
  }

  /**
   * A process that has just started knows no holders and would refuse requests
   * that other entries can serve. It waits for one of each service, but not for long.
   */
  private isWarm(): boolean {
    if (this.hasBeenWarm) return true;
    const {clock, follower, network} = this.options;
    const services = follower.getCurrent()?.document.services ?? [];
    const isServed = services.every(service =>
      network
        .getCandidates(service.name)
        .some(candidate => candidate.load.slots > 0),
    );
    const ageMs = clock.getMonotonicMs() - this.createdAtMs;
    this.hasBeenWarm = isServed || ageMs > MAX_WARM_UP_MS;
    return this.hasBeenWarm;
  }
}
