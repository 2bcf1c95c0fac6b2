/**
 * Requests to and from one peer, over links that may come and go.
 *
 * A request that was sent stays open when its link is lost. On the next link
 * it is asked after by its id; messages of an older link are never taken in,
 * so a peer that has not seen the request can say that it did not run.
 */

import {Clock, Timer} from '@mustardlug/base/clock';
import {BodyAssembler, WholeMessage} from './body_assembler.js';
import {
  ChunkMessage,
  DocumentMessage,
  HandoverMessage,
  HeartbeatMessage,
  HelloMessage,
  InnerMessage,
  RequestMessage,
  ResponseMessage,
  ToldMessage,
} from './messages.js';
import {MessageLink} from './message_link.js';
import {SendLane, SendScheduler} from './send_scheduler.js';

/** A forwarded request with its whole body. */
export interface WholeRequest {
  readonly head: RequestMessage;
  readonly body: Uint8Array;
}

/** An answer with its whole body. */
export interface WholeResponse {
  readonly head: ResponseMessage;
  readonly body: Uint8Array;
}

/** What a holder knows of a request that a peer asks after. */
export type KnownRequest =
  | {readonly state: 'in-progress'}
  | {readonly state: 'answered'; readonly response: WholeResponse}
  | {readonly state: 'not-run'}
  | {readonly state: 'unknown'};

/** Handles what a peer sends. */
export interface PeerHandler {
  /** Answers a request; resolves exactly once. */
  handleRequest(
    peer: HelloMessage,
    request: WholeRequest,
  ): Promise<WholeResponse>;
  /** The peer no longer waits for a request. */
  handleCancel(id: string): void;
  /** Gets what is known of a request that the peer asks after. */
  getKnownRequest(id: string): KnownRequest;
  /** A heartbeat arrived. */
  handleHeartbeat(peer: HelloMessage, heartbeat: HeartbeatMessage): void;
  /** A document arrived. */
  handleDocument(document: DocumentMessage): void;
  /** The peer handed leases back. */
  handleHandover(handover: HandoverMessage): void;
  /** Gets the next heartbeat's content; the channel adds the sequences. */
  getHeartbeat(): Omit<HeartbeatMessage, 'type' | 'sequence' | 'seenSequence'>;
  /** The channel gained or lost its link. */
  handleLinkChange(peer: HelloMessage, isLinked: boolean, reason: string): void;
}

/** End of a forwarded request. */
export type ForwardResult =
  | {readonly kind: 'answered'; readonly response: WholeResponse}
  | {readonly kind: 'not-run'; readonly reason: string}
  | {readonly kind: 'unknown'; readonly reason: string};

/** Options of a channel. */
export interface PeerChannelOptions {
  readonly peer: HelloMessage;
  readonly clock: Clock;
  readonly handler: PeerHandler;
  readonly heartbeatMs: number;
  /** Time without a message after which a link counts as silent. */
  readonly silenceMs: number;
}

interface OpenRequest {
  readonly settle: (result: ForwardResult) => void;
  readonly deadline: Timer;
}

const EMPTY_BODY = new Uint8Array(0);
/** Credit is returned in steps of at least this many bytes. */
const CREDIT_STEP_BYTES = 32 * 1024;
/** Heartbeats that may stay unseen by the peer before the link counts as cut in one direction. */
const MAX_UNSEEN_HEARTBEATS = 3;

/** Multiplexes requests with one incarnation of a peer. */
export class PeerChannel {
  private link: MessageLink | undefined;
  private sender: SendScheduler | undefined;
  private readonly open = new Map<string, OpenRequest>();
  private readonly requests = BodyAssembler.create<RequestMessage>();
  private readonly responses = BodyAssembler.create<ResponseMessage>();
  private lastReceivedMs = 0;
  private sequence = 0;
  private seenSequence = 0;
  private acknowledgedSequence = 0;
  private uncreditedBytes = 0;
  private beatTimer: Timer | undefined;
  private isRetired = false;

  private constructor(private readonly options: PeerChannelOptions) {}

  /**
   * Creates a channel without a link.
   * @param options - Peer, clock, handler and timing.
   */
  static create(options: PeerChannelOptions): PeerChannel {
    return new PeerChannel(options);
  }

  /** Gets the peer's introduction. */
  getPeer(): HelloMessage {
    return this.options.peer;
  }

  /** Checks whether requests can be sent now. */
  isLinked(): boolean {
    return this.link !== undefined;
  }

  /** Gets the number of requests that wait for an answer. */
  getOpenCount(): number {
    return this.open.size;
  }

  /**
   * Uses a new link and drops an older one.
   * @param link - Link on which the introductions were exchanged.
   */
  attachLink(link: MessageLink): void {
    this.dropLink('replaced by a newer connection');
    this.link = link;
    this.sender = SendScheduler.create(message => link.send(message));
    this.lastReceivedMs = this.options.clock.getMonotonicMs();
    this.sequence = 0;
    this.seenSequence = 0;
    this.acknowledgedSequence = 0;
    this.uncreditedBytes = 0;
    this.options.handler.handleLinkChange(this.options.peer, true, 'connected');
    for (const id of this.open.keys()) link.send({type: 'ask', id});
    this.sendHeartbeat();
    link.setListener({
      onMessage: message => this.handleMessage(link, message),
      onClose: reason => this.handleClose(link, reason),
    });
  }

  /**
   * Forwards a request.
   * @param request - Head and whole body.
   * @param lane - Lane of the body.
   * @returns The answer, or whether the request can have run. Resolves by the request's deadline.
   */
  sendRequest(request: WholeRequest, lane: SendLane): Promise<ForwardResult> {
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
        this.cancelRequest(id),
      );
      this.open.set(id, {settle: resolve, deadline});
      link.send(request.head);
      this.sender?.addBody(id, 'request', request.body, lane);
    });
  }

  /**
   * Sends a notice to the peer; it is lost if there is no link.
   * @param notice - Notice to send.
   */
  sendNotice(notice: DocumentMessage | HandoverMessage): void {
    this.link?.send(notice);
  }

  /** Ends the channel because the peer restarted; open requests become unknown. */
  retire(): void {
    this.isRetired = true;
    this.dropLink('peer restarted');
    for (const id of [...this.open.keys()]) {
      this.settle(id, {kind: 'unknown', reason: 'the holder restarted'});
    }
  }

  /**
   * Closes the link.
   * @param reason - Reason for the log.
   */
  close(reason: string): void {
    this.dropLink(reason);
  }

  private handleMessage(link: MessageLink, message: InnerMessage): void {
    if (link !== this.link) return;
    this.lastReceivedMs = this.options.clock.getMonotonicMs();
    switch (message.type) {
      case 'hello':
        return;
      case 'heartbeat':
        this.handleHeartbeat(message);
        return;
      case 'request':
        this.acceptRequest(this.requests.addHead(message));
        return;
      case 'response':
        this.acceptResponse(this.responses.addHead(message));
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
        this.handleAsk(message.id);
        return;
      case 'told':
        this.handleTold(message);
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

  private handleChunk(chunk: ChunkMessage): void {
    this.returnCredit(chunk.data.length);
    if (chunk.side === 'request') {
      const whole = this.requests.addChunk(chunk);
      if (whole.isErr()) return this.dropLink(whole.error.message);
      return this.acceptRequest(whole.value);
    }
    const whole = this.responses.addChunk(chunk);
    if (whole.isErr()) return this.dropLink(whole.error.message);
    return this.acceptResponse(whole.value);
  }

  private returnCredit(bytes: number): void {
    this.uncreditedBytes += bytes;
    if (this.uncreditedBytes < CREDIT_STEP_BYTES) return;
    this.link?.send({type: 'credit', bytes: this.uncreditedBytes});
    this.uncreditedBytes = 0;
  }

  private acceptRequest(
    request: WholeMessage<RequestMessage> | undefined,
  ): void {
    if (request === undefined) return;
    const {handler, peer} = this.options;
    void handler
      .handleRequest(peer, request)
      .then(response => this.sendResponse(response));
  }

  private sendResponse(response: WholeResponse): void {
    this.link?.send(response.head);
    this.sender?.addBody(response.head.id, 'response', response.body, 'urgent');
  }

  private acceptResponse(
    response: WholeMessage<ResponseMessage> | undefined,
  ): void {
    if (response === undefined) return;
    this.settle(response.head.id, {kind: 'answered', response});
  }

  private handleCancel(id: string): void {
    this.requests.removePartial(id);
    this.sender?.removeBody(id);
    this.options.handler.handleCancel(id);
  }

  private handleAsk(id: string): void {
    const known = this.options.handler.getKnownRequest(id);
    if (known.state === 'answered') {
      this.sendResponse(known.response);
      return;
    }
    this.link?.send({type: 'told', id, state: known.state});
  }

  private handleTold(told: ToldMessage): void {
    if (told.state === 'in-progress') return;
    const reason =
      told.state === 'not-run'
        ? 'the connection was lost before the holder had the request'
        : 'the holder no longer knows the request';
    this.settle(told.id, {kind: told.state, reason});
  }

  private cancelRequest(id: string): void {
    this.sender?.removeBody(id);
    this.link?.send({type: 'cancel', id});
    this.settle(id, {kind: 'unknown', reason: 'no answer before the deadline'});
  }

  private settle(id: string, result: ForwardResult): void {
    const request = this.open.get(id);
    if (request === undefined) return;
    this.open.delete(id);
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
    link.send({
      type: 'heartbeat',
      sequence: ++this.sequence,
      seenSequence: this.seenSequence,
      ...this.options.handler.getHeartbeat(),
    });
    this.beatTimer = this.options.clock.setTimer(this.options.heartbeatMs, () =>
      this.sendHeartbeat(),
    );
  }

  private isSilent(): boolean {
    const quietMs = this.options.clock.getMonotonicMs() - this.lastReceivedMs;
    const unseen = this.sequence - this.acknowledgedSequence;
    const unseenLimit =
      MAX_UNSEEN_HEARTBEATS +
      Math.ceil(this.options.silenceMs / this.options.heartbeatMs);
    return quietMs > this.options.silenceMs || unseen > unseenLimit;
  }

  private handleClose(link: MessageLink, reason: string): void {
    if (link === this.link) this.dropLink(reason);
  }

  private dropLink(reason: string): void {
    const link = this.link;
    if (link === undefined) return;
    this.link = undefined;
    this.sender = undefined;
    this.beatTimer?.cancel();
    this.requests.clear();
    this.responses.clear();
    link.close(reason);
    this.options.handler.handleLinkChange(this.options.peer, false, reason);
  }
}

/**
 * Creates a response without a body.
 * @param head - Head of the response.
 */
export function createEmptyResponse(
  head: Omit<ResponseMessage, 'type' | 'bodyBytes' | 'headers'>,
): WholeResponse {
  return {
    head: {type: 'response', bodyBytes: 0, headers: [], ...head},
    body: EMPTY_BODY,
  };
}
