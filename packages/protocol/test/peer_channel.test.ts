import {expect} from 'chai';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {ForwardBudget} from '../src/forward_budget.js';
import {LinkListener, MessageLink} from '../src/message_link.js';
import {HelloMessage, PeerMessage, RequestMessage} from '../src/messages.js';
import {
  BufferedRequest,
  BufferedResponse,
  createEmptyResponse,
  PeerChannel,
  PeerHandler,
} from '../src/peer_channel.js';

const HELLO: HelloMessage = {
  type: 'hello',
  protocolVersion: 1,
  nodeId: 'peer',
  incarnation: 'a',
  region: 'north',
  failureDomain: 'north-a',
};

/** Link whose messages the test reads and writes. */
class FakeLink extends MessageLink {
  readonly sent: PeerMessage[] = [];
  private listener: LinkListener | undefined;

  override setListener(listener: LinkListener): void {
    this.listener = listener;
  }

  override send(message: PeerMessage): void {
    this.sent.push(message);
  }

  override close(): void {}

  receive(message: PeerMessage): void {
    this.listener?.onMessage(message);
  }
}

/** Handler whose requests end when the test says so. */
class FakeHandler implements PeerHandler {
  readonly requests: BufferedRequest[] = [];
  private readonly ends: Array<() => void> = [];

  handleRequest(
    _peer: HelloMessage,
    request: BufferedRequest,
  ): Promise<BufferedResponse> {
    this.requests.push(request);
    const response = createEmptyResponse({
      id: request.head.id,
      outcome: 'ran',
      status: 200,
      reason: '',
      retryAfterMs: 0,
      workerId: 'w',
      slots: 1,
      inProgress: 0,
      queued: 0,
    });
    return new Promise(resolve => this.ends.push(() => resolve(response)));
  }

  endRequests(): void {
    for (const end of this.ends.splice(0)) end();
  }

  handleCancel(): void {}
  getRequestStatus() {
    return {state: 'not-run' as const};
  }
  handleHeartbeat(): void {}
  handleDocument(): void {}
  handleHandover(): void {}
  getHeartbeat() {
    return {
      isLeaving: false,
      documentVersion: 1,
      wallMs: 0,
      counter: 0,
      loads: [],
    };
  }
  handleLinkChange(): void {}
}

function createHead(id: string, bodyBytes: number): RequestMessage {
  return {
    type: 'request',
    id,
    service: 's',
    method: 'POST',
    path: '/',
    headers: [],
    bodyBytes,
    remainingMs: 5_000,
    isReadOnly: false,
  };
}

function createChunk(id: string, offset: number, bytes: number): PeerMessage {
  const data = new Uint8Array(bytes);
  return {type: 'chunk', id, side: 'request', offset, data};
}

describe('PeerChannel with a budget for forwarded requests', () => {
  let link: FakeLink;
  let handler: FakeHandler;
  let budget: ForwardBudget;
  let channel: PeerChannel;

  beforeEach(() => {
    link = new FakeLink();
    handler = new FakeHandler();
    budget = ForwardBudget.create(100);
    channel = PeerChannel.create({
      peer: HELLO,
      clock: VirtualClock.create(),
      handler,
      heartbeatMs: 1_000,
      silenceMs: 3_000,
      forwardBudget: budget,
    });
    channel.attachLink(link);
  });

  function getResponses() {
    return link.sent.filter(message => message.type === 'response');
  }

  it('refuses a request that does not fit, which never runs although its body arrives', () => {
    link.receive(createHead('first', 80));
    link.receive(createHead('second', 40));
    const [refusal] = getResponses();
    expect(refusal).to.include({id: 'second', outcome: 'not-run', status: 503});
    link.receive(createChunk('second', 0, 40));
    link.receive(createChunk('first', 0, 80));
    expect(handler.requests.map(({head}) => head.id)).to.deep.equal(['first']);
  });

  it('returns the bytes when a request ends, is cancelled, or loses its link', async () => {
    link.receive(createHead('ended', 80));
    link.receive(createChunk('ended', 0, 80));
    expect(budget.getReservedBytes()).to.equal(80);
    handler.endRequests();
    // The promise of the handler settles in a few microtasks.
    await new Promise(resolve => setImmediate(resolve));
    expect(budget.getReservedBytes()).to.equal(0);
    link.receive(createHead('cancelled', 80));
    link.receive({type: 'cancel', id: 'cancelled'});
    expect(budget.getReservedBytes()).to.equal(0);
    link.receive(createHead('lost', 80));
    channel.attachLink(new FakeLink());
    expect(budget.getReservedBytes()).to.equal(0);
  });

  it('keeps the bytes of a request in progress when it is cancelled', () => {
    link.receive(createHead('running', 80));
    link.receive(createChunk('running', 0, 80));
    link.receive({type: 'cancel', id: 'running'});
    expect(budget.getReservedBytes()).to.equal(80);
  });

  it('sends no further chunks of a request that was refused, as a later attempt has the same id', async () => {
    const body = new Uint8Array(300_000);
    const head = createHead('large', body.length);
    const result = channel.sendRequest({head, body}, 'urgent');
    const refusal = createEmptyResponse({
      id: 'large',
      outcome: 'not-run',
      status: 503,
      reason: 'no memory',
      retryAfterMs: 1_000,
      workerId: '',
      slots: 0,
      inProgress: 0,
      queued: 0,
    });
    link.receive(refusal.head);
    expect((await result).kind).to.equal('answered');
    const sentBefore = link.sent.length;
    link.receive({type: 'credit', bytes: 128 * 1_024});
    expect(link.sent.length).to.equal(sentBefore);
  });
});
