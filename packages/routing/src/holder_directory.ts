/** What this process knows of the load of each holder. */

import {Distance, HolderCandidate} from './holder_router.js';
import {
  HelloMessage,
  HeartbeatMessage,
  ResponseMessage,
  ServiceLoad,
} from '@mustardlug/protocol/messages';

interface KnownLoad {
  load: ServiceLoad;
  sentSince: number;
}

interface KnownPeer {
  readonly hello: HelloMessage;
  readonly loads: Map<string, KnownLoad>;
  isLeaving: boolean;
}

/** Loads of the peers, from heartbeats and answers. */
export class HolderDirectory {
  private readonly peers = new Map<string, KnownPeer>();

  private constructor(private readonly self: HelloMessage) {}

  /**
   * Creates an empty directory.
   * @param self - Introduction of this process.
   */
  static create(self: HelloMessage): HolderDirectory {
    return new HolderDirectory(self);
  }

  /**
   * Adds a peer whose link is up.
   * @param hello - Introduction of the peer.
   */
  addPeer(hello: HelloMessage): void {
    this.peers.set(hello.nodeId, {hello, loads: new Map(), isLeaving: false});
  }

  /**
   * Removes a peer whose link was lost.
   * @param nodeId - Id of the peer.
   */
  removePeer(nodeId: string): void {
    this.peers.delete(nodeId);
  }

  /**
   * Takes in a heartbeat.
   * @param nodeId - Id of the peer.
   * @param heartbeat - Its heartbeat.
   */
  setHeartbeat(nodeId: string, heartbeat: HeartbeatMessage): void {
    const peer = this.peers.get(nodeId);
    if (peer === undefined) return;
    peer.isLeaving = heartbeat.isLeaving;
    peer.loads.clear();
    for (const load of heartbeat.loads) {
      peer.loads.set(load.service, {load, sentSince: 0});
    }
  }

  /**
   * Takes in the load that an answer carries.
   * @param nodeId - Id of the peer.
   * @param service - Name of the service.
   * @param answer - Head of the answer.
   */
  setAnswerLoad(
    nodeId: string,
    service: string,
    answer: ResponseMessage,
  ): void {
    const {slots, inProgress, queued} = answer;
    this.peers.get(nodeId)?.loads.set(service, {
      load: {service, slots, inProgress, queued},
      sentSince: 0,
    });
  }

  /**
   * Notes that a request was sent.
   * @param nodeId - Id of the peer.
   * @param service - Name of the service.
   */
  noteSent(nodeId: string, service: string): void {
    const known = this.peers.get(nodeId)?.loads.get(service);
    if (known !== undefined) known.sentSince++;
  }

  /**
   * Gets the peers that can take requests of a service.
   * @param service - Name of the service.
   */
  getCandidates(service: string): HolderCandidate[] {
    const candidates: HolderCandidate[] = [];
    for (const peer of this.peers.values()) {
      const known = peer.loads.get(service);
      if (known === undefined || peer.isLeaving) continue;
      candidates.push({
        nodeId: peer.hello.nodeId,
        distance: this.getDistance(peer.hello),
        load: known.load,
        sentSince: known.sentSince,
      });
    }
    return candidates;
  }

  private getDistance(peer: HelloMessage): Distance {
    if (peer.failureDomain === this.self.failureDomain) return 'same-domain';
    return peer.region === this.self.region ? 'same-region' : 'other-region';
  }
}
