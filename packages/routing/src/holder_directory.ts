/** Directory of the peers that hold leases, with the loads that they reported. */

import {Distance, HolderCandidate} from './holder_router.js';
import {
  HelloMessage,
  HeartbeatMessage,
  ResponseMessage,
  ServiceLoad,
} from '@mustardlug/protocol/messages';

interface ReportedLoad {
  load: ServiceLoad;
  /** Requests sent to the peer since it reported the load. */
  requestsSinceReport: number;
}

interface ConnectedPeer {
  readonly hello: HelloMessage;
  readonly loads: Map<string, ReportedLoad>;
  isLeaving: boolean;
}

/** Tracks the load of each peer and service, as reported by heartbeats and responses. */
export class HolderDirectory {
  private readonly peers = new Map<string, ConnectedPeer>();
  private evacuatedDomains: ReadonlySet<string> = new Set();

  private constructor(private readonly self: HelloMessage) {}

  /**
   * Creates an empty directory.
   * @param self - Hello message of this process; its location determines distances.
   */
  static create(self: HelloMessage): HolderDirectory {
    return new HolderDirectory(self);
  }

  /**
   * Adds a connected peer.
   * @param hello - Hello message of the peer.
   */
  addPeer(hello: HelloMessage): void {
    this.peers.set(hello.nodeId, {hello, loads: new Map(), isLeaving: false});
  }

  /**
   * Removes a disconnected peer.
   * @param nodeId - Id of the peer.
   */
  removePeer(nodeId: string): void {
    this.peers.delete(nodeId);
  }

  /**
   * Replaces all loads of a peer by those of its heartbeat.
   * @param nodeId - Id of the peer.
   * @param heartbeat - Heartbeat received from the peer.
   */
  updateFromHeartbeat(nodeId: string, heartbeat: HeartbeatMessage): void {
    const peer = this.peers.get(nodeId);
    if (peer === undefined) return;
    peer.isLeaving = heartbeat.isLeaving;
    peer.loads.clear();
    for (const load of heartbeat.loads) {
      peer.loads.set(load.service, {load, requestsSinceReport: 0});
    }
  }

  /**
   * Updates the load of a service from a response.
   * @param nodeId - Id of the peer.
   * @param service - Name of the service.
   * @param response - Head of the response.
   */
  updateLoadFromResponse(
    nodeId: string,
    service: string,
    response: ResponseMessage,
  ): void {
    const {slots, inProgress, queued} = response;
    this.peers.get(nodeId)?.loads.set(service, {
      load: {service, slots, inProgress, queued},
      requestsSinceReport: 0,
    });
  }

  /**
   * Counts a request that was sent to a peer, until the peer reports its load again.
   * @param nodeId - Id of the peer.
   * @param service - Name of the service.
   */
  recordSentRequest(nodeId: string, service: string): void {
    const reported = this.peers.get(nodeId)?.loads.get(service);
    if (reported !== undefined) reported.requestsSinceReport++;
  }

  /**
   * Sets the evacuated failure domains, whose peers are no candidates.
   * @param domains - Names of the domains.
   */
  setEvacuatedDomains(domains: readonly string[]): void {
    this.evacuatedDomains = new Set(domains);
  }

  /**
   * Gets the peers that reported a load for a service, are not leaving and whose
   * failure domain is in service.
   * @param service - Name of the service.
   */
  getCandidates(service: string): HolderCandidate[] {
    const candidates: HolderCandidate[] = [];
    for (const peer of this.peers.values()) {
      const reported = peer.loads.get(service);
      if (reported === undefined || peer.isLeaving) continue;
      if (this.evacuatedDomains.has(peer.hello.failureDomain)) continue;
      candidates.push({
        nodeId: peer.hello.nodeId,
        distance: this.getDistance(peer.hello),
        load: reported.load,
        requestsSinceReport: reported.requestsSinceReport,
      });
    }
    return candidates;
  }

  private getDistance(peer: HelloMessage): Distance {
    if (peer.failureDomain === this.self.failureDomain) return 'same-domain';
    return peer.region === this.self.region ? 'same-region' : 'other-region';
  }
}
