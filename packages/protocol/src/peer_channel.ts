/**
 * Exchanges requests with one peer over a sequence of links.
 *
 * A sent request stays pending when its link is lost. On the next link the
 * channel queries its status by id. Messages of a replaced link are ignored,
 * so a peer that has not received the request can report that it did not run.
 */

import {Clock, Timer} from '@mustardlug/base/clock';
import {AssembledMessage, BodyAssembler} from './body_assembler.js';
import {
  ChunkMessage,
  DocumentMessage,
  HandoverMessage,
  HeartbeatMessage,
  HelloMessage,
  PeerMessage,
  RequestMessage,
  RequestStatusMessage,
  ResponseMessage,
} from './messages.js';
import {ForwardBudget} from './forward_budget.js';
import {MessageLink} from './message_link.js';
import {SendPriority, SendScheduler} from './send_scheduler.js';

/** A forwarded request with its complete body. */
export interface BufferedRequest {
  readonly head: RequestMessage;
  readonly body: Uint8Array;
}

/** A response with its complete body. */
export interface BufferedResponse {
  readonly head: ResponseMessage;
  readonly body: Uint8Array;
}

/** State of a request at the lease holder, as reported to the peer that sent it. */
export type RequestStatus =
  | {readonly state: 'in-progress'}
  | {readonly state: 'answered'; readonly response: BufferedResponse}
  | {readonly state: 'not-run'}
  | {readonly state: 'unknown'};

/** Handles the messages of a peer. */
export interface PeerHandler {
  /** Processes a request and resolves with its response. Must not reject. */
  handleRequest(
    peer: HelloMessage,
    request: BufferedRequest,
  ): Promise<BufferedResponse>;
  /** Called when the peer has cancelled a request. */
  handleCancel(id: string): void;
  /** Gets the state of a request whose status the peer queries. */
  getRequestStatus(id: string): RequestStatus;
  /** Called for each received heartbeat. */
  handleHeartbeat(peer: HelloMessage, heartbeat: HeartbeatMessage): void;
  /** Called for each received environment document. */
  handleDocument(document: DocumentMessage): void;
  /** Called when the peer has released leases. */
  handleHandover(handover: HandoverMessage): void;
  /** Gets the content of the next heartbeat. The channel adds the sequence numbers. */
  getHeartbeat(): Omit<HeartbeatMessage, 'type' | 'sequence' | 'seenSequence'>;
  /** Called when the channel was attached to a link or lost it. */
  handleLinkChange(peer: HelloMessage, isLinked: boolean, reason: string): void;
}

/** Result of a forwarded request. */
export type ForwardResult =
  | {readonly kind: 'answered'; readonly response: BufferedResponse}
  | {readonly kind: 'not-run'; readonly reason: string}
  | {readonly kind: 'unknown'; readonly reason: string};

/** Options of a channel. */
export interface PeerChannelOptions {
  readonly peer: HelloMessage;
  readonly clock: Clock;
  readonly handler: PeerHandler;
  readonly heartbeatMs: number;
  /**
   * Time without a received message after which a link is considered dead. It is
   * counted in heartbeats of this process, so that its own pauses do not add to it.
   */
  readonly silenceMs: number;
  /** Budget for the bodies of requests that the peer forwards; unlimited if absent. */
  readonly forwardBudget?: ForwardBudget;
  /** Called for each forwarded request that was refused for want of memory. */
  readonly onRequestRefused?: (peer: HelloMessage, id: string) => void;
}

interface PendingRequest {
  readonly settle: (result: ForwardResult) => void;
  readonly deadline: Timer;
}

const EMPTY_BODY = new Uint8Array(0);
const SERVICE_UNAVAILABLE_STATUS = 503;
/** Bodies are received and forwarded within about a second. */
const MEMORY_RETRY_AFTER_MS = 1_000;
/** Minimum number of received bytes for which credit is returned. */
const CREDIT_STEP_BYTES = 32 * 1024;
/**
 * Heartbeats that may stay unacknowledged, in addition to those sent within
 * `silenceMs`, before the link is considered broken in the sending direction.
 */
const MAX_UNACKNOWLEDGED_HEARTBEATS = 3;

/** Multiplexes requests to and from one incarnation of a peer. */
export class PeerChannel {
  private link: MessageLink | undefined;
  private sender: SendScheduler | undefined;
  private readonly pendingRequests = new Map<string, PendingRequest>();
  private readonly requestAssembler = BodyAssembler.create<RequestMessage>();
  private readonly responseAssembler = BodyAssembler.create<ResponseMessage>();
  /** Functions that return the reserved bytes of requests whose body is incomplete, by id. */
  private readonly partialReservations = new Map<string, () => void>();
  private heartbeatsSinceMessage = 0;
  private sequence = 0;
  private seenSequence = 0;
  private acknowledgedSequence = 0;
  private uncreditedBytes = 0;
  private heartbeatTimer: Timer | undefined;
  private isRetired = false;

  private constructor(private readonly options: PeerChannelOptions) {}

  /**
   * Creates a channel without a link.
   * @param options - Peer, clock, handler and timing.
   */
  static create(options: PeerChannelOptions): PeerChannel {
    return new PeerChannel(options);
  }

  /** Gets the hello message of the peer. */
  getPeer(): HelloMessage {
    return this.options.peer;
  }

  /** Checks whether the channel has a link, so that requests can be sent. */
  isLinked(): boolean {
    return this.link !== undefined;
  }

  /** Gets the number of sent requests that have no result yet. */
  getPendingRequestCount(): number {
    return this.pendingRequests.size;
  }

  /**
   * Attaches a new link, which replaces the current one.
   * @param link - Link on which the hello messages were exchanged.
   */
  attachLink(link: MessageLink): void {
    this.dropLink('replaced by a newer connection');
    this.link = link;
    this.sender = SendScheduler.create(message => link.send(message));
    this.heartbeatsSinceMessage = 0;
    this.sequence = 0;
    this.seenSequence = 0;
    this.acknowledgedSequence = 0;
    this.uncreditedBytes = 0;
    this.options.handler.handleLinkChange(this.options.peer, true, 'connected');
    for (const id of this.pendingRequests.keys()) link.send({type: 'ask', id});
    this.sendHeartbeat();
    link.setListener({
      onMessage: message => this.handleMessage(link, message),
      onClose: reason => this.handleClose(link, reason),
    });
  }

  /**
   * Forwards a request.
   * @param request - Head and complete body.
   * @param priority - Priority of the body.
   * @returns The response, or whether the request may have run. Resolves no later than the deadline of the request.
   */
  sendRequest(
    request: BufferedRequest,
    priority: SendPriority,
  ): Promise<ForwardResult> {
    const link = this.link;
    if (link === undefined) {
      return Promise.resolve({
        kind: 'not-run',
        reason: 'peer is not connected',
      });
    }
    return new Promise(resolve => {
      const {id, remainingMs} = request.head;
      const deadline = this.options.clock.setTimer(remainingMs, () =>
        this.expireRequest(id),
      );
      this.pendingRequests.set(id, {settle: resolve, deadline});
      link.send(request.head);
      this.sender?.addBody(id, 'request', request.body, priority);
    });
  }

  /**
   * Sends a notice to the peer. Drops it if there is no link.
   * @param notice - Notice to send.
   */
  sendNotice(notice: DocumentMessage | HandoverMessage): void {
    this.link?.send(notice);
  }

  /** Closes the channel after a restart of the peer. Pending requests end with an unknown outcome. */
  retire(): void {
    this.isRetired = true;
    this.dropLink('peer restarted');
    for (const id of [...this.pendingRequests.keys()]) {
      this.settle(id, {kind: 'unknown', reason: 'the peer restarted'});
    }
  }

  /**
   * Closes the link.
   * @param reason - Reason for the log.
   */
  close(reason: string): void {
    this.dropLink(reason);
  }

  private handleMessage(link: MessageLink, message: PeerMessage): void {
    if (link !== this.link) return;
    this.heartbeatsSinceMessage = 0;
    switch (message.type) {
      case 'hello':
        return;
      case 'heartbeat':
        this.handleHeartbeat(message);
        return;
      case 'request':
        this.handleRequestHead(message);
        return;
      case 'response':
        // A refusal may arrive before the whole body has been sent. A later attempt has the same id.
        this.sender?.removeBody(message.id);
        this.acceptResponse(this.responseAssembler.addHead(message));
        return;
      case 'chunk':
        this.handleChunk(message);
        return;
      case 'credit':
        this.sender?.addCredit(message.bytes);
        return;
      case 'cancel':
        this.handleCancel(message.id);
        return;
      case 'ask':
        this.handleStatusQuery(message.id);
        return;
      case 'told':
        this.handleRequestStatus(message);
        return;
      case 'document':
        this.options.handler.handleDocument(message);
        return;
      case 'handover':
        this.options.handler.handleHandover(message);
        return;
    }
  }

  private handleHeartbeat(heartbeat: HeartbeatMessage): void {
    this.seenSequence = heartbeat.sequence;
    this.acknowledgedSequence = heartbeat.seenSequence;
    this.options.handler.handleHeartbeat(this.options.peer, heartbeat);
  }

  /**
   * Refuses a request before its body is received if there is no memory for it. Its
   * chunks are dropped, so that it certainly does not run.
   */
  private handleRequestHead(head: RequestMessage): void {
    const {forwardBudget, onRequestRefused, peer} = this.options;
    this.releasePartial(head.id);
    if (forwardBudget !== undefined) {
      const release = forwardBudget.reserve(head.bodyBytes);
      if (release === undefined) {
        onRequestRefused?.(peer, head.id);
        this.sendResponse(createMemoryRefusal(head.id));
        return;
      }
      this.partialReservations.set(head.id, release);
    }
    this.acceptRequest(this.requestAssembler.addHead(head));
  }

  private releasePartial(id: string): void {
    this.partialReservations.get(id)?.();
    this.partialReservations.delete(id);
  }

  private handleChunk(chunk: ChunkMessage): void {
    this.returnCredit(chunk.data.length);
    if (chunk.side === 'request') {
      const assembled = this.requestAssembler.addChunk(chunk);
      if (assembled.isErr()) return this.dropLink(assembled.error.message);
      return this.acceptRequest(assembled.value);
    }
    const assembled = this.responseAssembler.addChunk(chunk);
    if (assembled.isErr()) return this.dropLink(assembled.error.message);
    return this.acceptResponse(assembled.value);
  }

  private returnCredit(bytes: number): void {
    this.uncreditedBytes += bytes;
    if (this.uncreditedBytes < CREDIT_STEP_BYTES) return;
    this.link?.send({type: 'credit', bytes: this.uncreditedBytes});
    this.uncreditedBytes = 0;
  }

  private acceptRequest(
    request: AssembledMessage<RequestMessage> | undefined,
  ): void {
    if (request === undefined) return;
    const {handler, peer} = this.options;
    const {id} = request.head;
    const release = this.partialReservations.get(id);
    this.partialReservations.delete(id);
    void handler
      .handleRequest(peer, request)
      .finally(() => release?.())
      .then(response => this.sendResponse(response));
  }

  private sendResponse(response: BufferedResponse): void {
    this.link?.send(response.head);
    this.sender?.addBody(response.head.id, 'response', response.body, 'urgent');
  }

  private acceptResponse(
    response: AssembledMessage<ResponseMessage> | undefined,
  ): void {
    if (response === undefined) return;
    this.settle(response.head.id, {kind: 'answered', response});
  }

  private handleCancel(id: string): void {
    this.requestAssembler.removePartialBody(id);
    this.releasePartial(id);
    this.sender?.removeBody(id);
    this.options.handler.handleCancel(id);
  }

  private handleStatusQuery(id: string): void {
    const status = this.options.handler.getRequestStatus(id);
    if (status.state === 'answered') {
      this.sendResponse(status.response);
      return;
    }
    this.link?.send({type: 'told', id, state: status.state});
  }

  private handleRequestStatus(status: RequestStatusMessage): void {
    if (status.state === 'in-progress') return;
    const reason =
      status.state === 'not-run'
        ? 'the connection was lost before the peer received the request'
        : 'the peer has no record of the request';
    this.settle(status.id, {kind: status.state, reason});
  }

  private expireRequest(id: string): void {
    this.sender?.removeBody(id);
    this.link?.send({type: 'cancel', id});
    this.settle(id, {
      kind: 'unknown',
      reason: 'no response before the deadline',
    });
  }

  private settle(id: string, result: ForwardResult): void {
    const request = this.pendingRequests.get(id);
    if (request === undefined) return;
    this.pendingRequests.delete(id);
    request.deadline.cancel();
    request.settle(result);
  }

  private sendHeartbeat(): void {
    const link = this.link;
    if (link === undefined || this.isRetired) return;
    if (this.isSilent()) {
      this.dropLink('silent');
      return;
    }
    this.heartbeatsSinceMessage++;
    link.send({
      type: 'heartbeat',
      sequence: ++this.sequence,
      seenSequence: this.seenSequence,
      ...this.options.handler.getHeartbeat(),
    });
    this.heartbeatTimer = this.options.clock.setTimer(
      this.options.heartbeatMs,
      () => this.sendHeartbeat(),
    );
  }

  private isSilent(): boolean {
    const {silenceMs, heartbeatMs} = this.options;
    const silenceLimit = Math.ceil(silenceMs / heartbeatMs);
    const unacknowledged = this.sequence - this.acknowledgedSequence;
    return (
      this.heartbeatsSinceMessage >= silenceLimit ||
      unacknowledged > MAX_UNACKNOWLEDGED_HEARTBEATS + silenceLimit
    );
  }

  private handleClose(link: MessageLink, reason: string): void {
    if (link === this.link) this.dropLink(reason);
  }

  private dropLink(reason: string): void {
    const link = this.link;
    if (link === undefined) return;
    this.link = undefined;
    this.sender = undefined;
    this.heartbeatTimer?.cancel();
    this.requestAssembler.clear();
    for (const id of [...this.partialReservations.keys()])
      this.releasePartial(id);
    this.responseAssembler.clear();
    link.close(reason);
    this.options.handler.handleLinkChange(this.options.peer, false, reason);
  }
}

function createMemoryRefusal(id: string): BufferedResponse {
  return createEmptyResponse({
    id,
    outcome: 'not-run',
    status: SERVICE_UNAVAILABLE_STATUS,
    reason: 'the holder has no memory for the request; try again',
    retryAfterMs: MEMORY_RETRY_AFTER_MS,
    workerId: '',
    slots: 0,
    inProgress: 0,
    queued: 0,
  });
}

/**
 * Creates a response without a body.
 * @param head - Head of the response.
 */
export function createEmptyResponse(
  head: Omit<ResponseMessage, 'type' | 'bodyBytes' | 'headers'>,
): BufferedResponse {
  return {
    head: {type: 'response', bodyBytes: 0, headers: [], ...head},
    body: EMPTY_BODY,
  };
}
