import {connect, Socket} from 'node:net';
import {expect} from 'chai';
import {Hono} from 'hono';
import {HttpListener, ListenOptions} from '../src/http_listener.js';
import {DEFAULT_LISTENER_LIMITS} from '../src/listener_limits.js';

const HOST = '127.0.0.1';
const WAIT_MS = 5_000;

/** Connection that collects what the server sends. */
class TestClient {
  received = '';
  isClosed = false;

  private constructor(readonly socket: Socket) {
    socket.on('data', piece => (this.received += piece.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => (this.isClosed = true));
  }

  static connect(port: number): Promise<TestClient> {
    return new Promise(resolve => {
      const socket = connect(port, HOST);
      const client = new TestClient(socket);
      socket.once('connect', () => resolve(client));
      socket.once('close', () => resolve(client));
    });
  }

  send(text: string): void {
    this.socket.write(text);
  }

  async waitUntil(isDone: () => boolean): Promise<boolean> {
    const endMs = performance.now() + WAIT_MS;
    while (!isDone() && performance.now() < endMs) await sleep(10);
    return isDone();
  }

  getStatuses(): string[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(
      match => match[1],
    );
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

function renderPost(length: number, body: string): string {
  return `POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: ${length}\r\n\r\n${body}`;
}

describe(`${HttpListener.name} with limits`, () => {
  let listener: HttpListener;
  let clients: TestClient[];
  let handled: string[];
  let refusals: string[];

  beforeEach(() => {
    clients = [];
    handled = [];
    refusals = [];
  });

  afterEach(async () => {
    for (const {socket} of clients) socket.destroy();
    listener.destroy();
    await sleep(0);
  });

  const listen = async (
    limits: ListenOptions['limits'],
    options: ListenOptions = {},
  ) => {
    const app = new Hono();
    app.post('/echo', async context => {
      const text = await context.req.text();
      handled.push(text);
      return context.text(String(text.length));
    });
    app.post('/late', async context => {
      await sleep(1);
      handled.push(await context.req.text());
      return context.text('');
    });
    app.get('/', context => context.text('ok'));
    const result = await HttpListener.listen(
      app,
      {host: HOST, port: 0},
      {limits, onRefusal: reason => refusals.push(reason), ...options},
    );
    listener = result._unsafeUnwrap();
  };

  const open = async () => {
    const client = await TestClient.connect(listener.getPort());
    clients.push(client);
    return client;
  };

  for (const readsBodyAtOnce of [false, true]) {
    it(`serves bodies in pieces, chunked and empty on one connection${readsBodyAtOnce ? ' that are read at once' : ''}`, async () => {
      await listen({}, {readsBodyAtOnce});
      const client = await open();
      const text = 'é'.repeat(20_000);
      client.send(renderPost(40_000, text.slice(0, 1_000)));
      await sleep(20);
      client.send(text.slice(1_000));
      await client.waitUntil(() => client.getStatuses().length === 1);
      client.send(
        'POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n',
      );
      for (let count = 0; count < 100; count++) client.send('2\r\nxy\r\n');
      client.send('0\r\n\r\n' + renderPost(0, '') + renderPost(3, 'abc'));
      await client.waitUntil(() => client.getStatuses().length === 4);
      expect(client.getStatuses()).to.deep.equal(['200', '200', '200', '200']);
      expect(handled).to.deep.equal([text, 'xy'.repeat(100), '', 'abc']);
      expect(refusals).to.deep.equal([]);
    });
  }

  // Guards against a handler that gets the body of another request.
  it('fails a body that is not read at once, as its memory is used again', async () => {
    await listen({}, {readsBodyAtOnce: true});
    const client = await open();
    client.send(renderPost(20_000, 'x'.repeat(10_000)).replace('echo', 'late'));
    await sleep(20);
    client.send('x'.repeat(10_000));
    await client.waitUntil(() => client.getStatuses().length === 1);
    expect(client.getStatuses()).to.deep.equal(['500']);
    expect(handled).to.deep.equal([]);
  });

  // Guards against reading a body that is known to be too large.
  it('refuses a declared body over the limit before it is sent', async () => {
    await listen({}, {getMaxBodyBytes: () => 1_000});
    const client = await open();
    client.send(renderPost(1_001, ''));
    expect(await client.waitUntil(() => client.isClosed)).to.equal(true);
    expect(client.getStatuses()).to.deep.equal(['413']);
    expect(client.received).to.include('the body exceeds 1000 bytes');
    expect(refusals).to.deep.equal(['body-size']);
  });

  // Guards against measuring a body only once it is in memory.
  it('refuses a chunked body as soon as it exceeds the limit, used or not', async () => {
    for (const isUsed of [true, false]) {
      await listen({maxBodyBytes: 1_000}, {usesBody: () => isUsed});
      const client = await open();
      client.send(
        'POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n',
      );
      client.send(`3e9\r\n${'x'.repeat(1_001)}\r\n`);
      expect(await client.waitUntil(() => client.isClosed)).to.equal(true);
      expect(client.getStatuses()).to.deep.equal(['413']);
      listener.destroy();
    }
    expect(handled).to.deep.equal([]);
  });

  it('refuses a request with too many header fields', async () => {
    await listen({maxHeaderCount: 10});
    const client = await open();
    client.send(`GET / HTTP/1.1\r\nhost: a\r\n${'b:c\r\n'.repeat(10)}\r\n`);
    expect(await client.waitUntil(() => client.isClosed)).to.equal(true);
    expect(client.getStatuses()).to.deep.equal(['431']);
  });

  // Guards against a sum of bodies beyond the memory, and against running a refused job.
  it('refuses a body with 503 that does not fit beside the others', async () => {
    await listen({maxHeldBytes: 200_000});
    const stalled = await open();
    stalled.send(renderPost(150_000, 'x'.repeat(100_000)));
    await sleep(50);
    const client = await open();
    client.send(renderPost(50_000, 'y'.repeat(50_000)));
    expect(await client.waitUntil(() => client.isClosed)).to.equal(true);
    expect(client.getStatuses()).to.deep.equal(['503']);
    expect(client.received).to.match(/^retry-after: 1\r$/m);
    expect(handled).to.deep.equal([]);
    expect(refusals).to.deep.equal(['memory']);
  });

  // Guards against stalled bodies that keep out all others.
  it('closes a body that is incomplete for over a second for another one', async () => {
    await listen({maxHeldBytes: 200_000});
    const stalled = await open();
    stalled.send(renderPost(150_000, 'x'.repeat(100_000)));
    await sleep(1_100);
    const client = await open();
    client.send(renderPost(30_000, 'y'.repeat(30_000)));
    await client.waitUntil(() => client.getStatuses().length === 1);
    expect(client.getStatuses()).to.deep.equal(['200']);
    expect(await stalled.waitUntil(() => stalled.isClosed)).to.equal(true);
    expect(refusals).to.deep.equal(['overdue']);
  });

  // Guards against bytes that are not returned on one of the ways a request can end.
  it('returns what requests held, whether they end well, are refused or break off', async () => {
    await listen({maxHeldBytes: 250_000}, {getMaxBodyBytes: () => 60_000});
    for (let round = 0; round < 20; round++) {
      const served = await open();
      served.send(renderPost(50_000, 'x'.repeat(50_000)));
      await served.waitUntil(() => served.getStatuses().length === 1);
      expect(served.getStatuses()).to.deep.equal(['200']);
      served.socket.destroy();
      const broken = await open();
      broken.send(renderPost(50_000, 'x'.repeat(40_000)));
      await sleep(5);
      broken.socket.destroy();
      const refused = await open();
      refused.send(renderPost(70_000, 'x'.repeat(40_000)));
      await refused.waitUntil(() => refused.isClosed);
    }
  });

  // Guards against handlers of very many pipelined requests.
  it('closes a connection with too many pipelined requests and handles few', async () => {
    await listen({maxRequestsInProgress: 8});
    const client = await open();
    client.send(renderPost(1, 'x').repeat(500));
    expect(await client.waitUntil(() => client.isClosed)).to.equal(true);
    expect(handled.length).to.be.at.most(8);
    expect(refusals).to.deep.equal(['pipelining']);
  });

  it('serves as many pipelined requests as allowed', async () => {
    await listen({maxRequestsInProgress: 8});
    const client = await open();
    client.send(renderPost(1, 'x').repeat(8));
    await client.waitUntil(() => client.getStatuses().length === 8);
    expect(client.getStatuses()).to.deep.equal(Array(8).fill('200'));
    expect(client.isClosed).to.equal(false);
  });

  // Guards against clients that send bodies slowly enough to hold them for long.
  it('closes a connection whose body is too slow', async () => {
    await listen({progressGraceMs: 500, minBytesPerSecond: 1_000});
    const client = await open();
    client.send(renderPost(10_000, 'x'));
    const timer = setInterval(() => client.send('x'), 50);
    expect(await client.waitUntil(() => client.isClosed)).to.equal(true);
    clearInterval(timer);
    expect(refusals).to.deep.equal(['slow']);
  });

  // Guards against refusing a legal body for its chunks when there is no load.
  it('serves a body of the largest size in small chunks', async () => {
    await listen({});
    const head =
      'POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
    const small = await open();
    const chunk = `40\r\n${'x'.repeat(64)}\r\n`;
    small.send(`${head}${chunk.repeat(4_096)}0\r\n\r\n`);
    await small.waitUntil(() => small.getStatuses().length === 1);
    expect(small.getStatuses()).to.deep.equal(['200']);
    expect(handled[0].length).to.equal(DEFAULT_LISTENER_LIMITS.maxBodyBytes);
  });

  // Guards against closing the connections of callers that are between two requests.
  it('closes the longest idle connection for a new one only after a second', async () => {
    await listen({maxConnections: 2});
    const [first, second] = [await open(), await open()];
    const refused = await open();
    expect(await refused.waitUntil(() => refused.isClosed)).to.equal(true);
    expect(refused.getStatuses()).to.deep.equal(['503']);
    await sleep(1_100);
    first.send('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
    await first.waitUntil(() => first.getStatuses().length === 1);
    const third = await open();
    third.send('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
    await third.waitUntil(() => third.getStatuses().length === 1);
    expect(third.getStatuses()).to.deep.equal(['200']);
    expect(first.isClosed).to.equal(false);
    expect(await second.waitUntil(() => second.isClosed)).to.equal(true);
  });

  // Guards against shutdowns that cut off callers, or wait for idle ones.
  it('completes requests in progress when it is closed', async () => {
    await listen({});
    const client = await open();
    client.send(renderPost(10, 'x'));
    await sleep(50);
    const closed = listener.close();
    client.send('x'.repeat(9));
    await client.waitUntil(() => client.getStatuses().length === 1);
    expect(client.getStatuses()).to.deep.equal(['200']);
    client.socket.destroy();
    await closed;
  });
});
