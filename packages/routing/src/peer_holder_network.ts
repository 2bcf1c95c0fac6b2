/** Access to all lease holders: this process and its peers. */

import {
  ForwardResult,
  PeerChannel,
  BufferedRequest,
} from '@mustardlug/protocol/peer_channel';
import {SendPriority} from '@mustardlug/protocol/send_scheduler';
import {HolderDirectory} from './holder_directory.js';
import {DispatcherRegistry} from './dispatcher_registry.js';
import {HolderCandidate} from './holder_router.js';
import {HolderNetwork} from './request_runner.js';

export interface PeerHolderNetworkOptions {
  readonly selfId: string;
  readonly registry: DispatcherRegistry;
  readonly directory: HolderDirectory;
  readonly getChannel: (nodeId: string) => PeerChannel | undefined;
}

/** Requests with larger bodies are sent with bulk priority, after urgent messages. */
const MAX_URGENT_BODY_BYTES = 64 * 1024;

/** Runs requests on this process's own workers or forwards them over a peer channel. */
export class PeerHolderNetwork extends HolderNetwork {
  private constructor(private readonly options: PeerHolderNetworkOptions) {
    super();
  }

  /**
   * @param options - Id of this process, local dispatchers, reported peer loads
   * and peer channels.
   */
  static create(options: PeerHolderNetworkOptions): PeerHolderNetwork {
    return new PeerHolderNetwork(options);
  }

  override getCandidates(service: string): HolderCandidate[] {
    const {selfId, registry, directory} = this.options;
    const candidates = directory.getCandidates(service);
    const load = registry.getLoad(service);
    if (load === undefined) return candidates;
    const localCandidate: HolderCandidate = {
      nodeId: selfId,
      distance: 'same-domain',
      load,
      requestsSinceReport: 0,
    };
    return [...candidates, localCandidate];
  }

  override async forward(
    nodeId: string,
    request: BufferedRequest,
  ): Promise<ForwardResult> {
    const {selfId, registry, directory, getChannel} = this.options;
    if (nodeId === selfId) {
      const response = await registry.runRequest(request);
      return {kind: 'answered', response};
    }
    const channel = getChannel(nodeId);
    if (channel === undefined) {
      return {kind: 'not-run', reason: 'peer is not connected'};
    }
    const {service} = request.head;
    directory.recordSentRequest(nodeId, service);
    const priority: SendPriority =
      request.body.length <= MAX_URGENT_BODY_BYTES ? 'urgent' : 'bulk';
    const result = await channel.sendRequest(request, priority);
    if (result.kind === 'answered') {
      directory.updateLoadFromResponse(nodeId, service, result.response.head);
    }
    return result;
  }
}
