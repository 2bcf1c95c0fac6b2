/** Holders on this process and on its peers. */

import {
  ForwardResult,
  PeerChannel,
  WholeRequest,
} from '@mustardlug/protocol/peer_channel';
import {SendLane} from '@mustardlug/protocol/send_scheduler';
import {HolderDirectory} from './holder_directory.js';
import {HolderRegistry} from './holder_registry.js';
import {HolderCandidate} from './holder_router.js';
import {HolderNetwork} from './request_runner.js';

/** Options of the network. */
export interface PeerHolderNetworkOptions {
  readonly selfId: string;
  readonly registry: HolderRegistry;
  readonly directory: HolderDirectory;
  readonly getChannel: (nodeId: string) => PeerChannel | undefined;
}

/** Bodies above this size wait behind urgent ones on the inner connections. */
const URGENT_BODY_BYTES = 64 * 1024;

/** Sends requests to this process's own workers or through a peer channel. */
export class PeerHolderNetwork extends HolderNetwork {
  private constructor(private readonly options: PeerHolderNetworkOptions) {
    super();
  }

  /**
   * Creates a network.
   * @param options - Own holders, known loads and channels.
   */
  static create(options: PeerHolderNetworkOptions): PeerHolderNetwork {
    return new PeerHolderNetwork(options);
  }

  override getCandidates(service: string): HolderCandidate[] {
    const {selfId, registry, directory} = this.options;
    const candidates = directory.getCandidates(service);
    const load = registry.getLoad(service);
    if (load === undefined) return candidates;
    const own: HolderCandidate = {
      nodeId: selfId,
      distance: 'same-domain',
      load,
      sentSince: 0,
    };
    return [...candidates, own];
  }

  override async forward(
    nodeId: string,
    request: WholeRequest,
  ): Promise<ForwardResult> {
    const {selfId, registry, directory, getChannel} = this.options;
    if (nodeId === selfId) {
      const response = await registry.runRequest(request);
      return {kind: 'answered', response};
    }
    const channel = getChannel(nodeId);
    if (channel === undefined) {
      return {kind: 'not-run', reason: 'the peer is not connected'};
    }
    const {service} = request.head;
    directory.noteSent(nodeId, service);
    const lane: SendLane =
      request.body.length <= URGENT_BODY_BYTES ? 'urgent' : 'bulk';
    const result = await channel.sendRequest(request, lane);
    if (result.kind === 'answered') {
      directory.setAnswerLoad(nodeId, service, result.response.head);
    }
    return result;
  }
}
