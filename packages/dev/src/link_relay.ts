/**
 * A TCP relay that stands for a network link: delay, shared bandwidth, cuts,
 * and connections that go silent while new ones work.
 */

import {AddressInfo, connect, createServer, Server, Socket} from 'node:net';
import {Clock} from '@mustardlug/base/clock';

/** State of a link. */
export type LinkState = 'open' | 'cut' | 'silent';

/** Bytes that one direction of a shared link can carry. */
export class SharedBandwidth {
  private freeAtMs = 0;
  private carriedBytes = 0;

  private constructor(
    private readonly bytesPerMs: number,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates one direction of a link.
   * @param bitsPerS - Bandwidth in bits a second.
   * @param clock - Clock of the process.
   */
  static create(bitsPerS: number, clock: Clock): SharedBandwidth {
    return new SharedBandwidth(bitsPerS / 8 / 1_000, clock);
  }

  /** Gets all bytes carried so far. */
  getCarriedBytes(): number {
    return this.carriedBytes;
  }

  /**
   * Takes bytes onto the link.
   * @param bytes - Number of bytes.
   * @returns Time in milliseconds until the last of them has left.
   */
  addBytes(bytes: number): number {
    const nowMs = this.clock.getMonotonicMs();
    this.carriedBytes += bytes;
    this.freeAtMs = Math.max(this.freeAtMs, nowMs) + bytes / this.bytesPerMs;
    return this.freeAtMs - nowMs;
  }
}

/** Options of a relay. */
export interface LinkRelayOptions {
  readonly targetHost: string;
  readonly targetPort: number;
  readonly delayMs: number;
  readonly clock: Clock;
  /** Bandwidth towards the target and back; absent means unlimited. */
  readonly forward?: SharedBandwidth;
  readonly backward?: SharedBandwidth;
}

interface RelayedPair {
  readonly near: Socket;
  readonly far: Socket;
  isSilent: boolean;
}

/** Listens on a free port and passes connections on to a target. */
export class LinkRelay {
  private readonly server: Server;
  private readonly pairs = new Set<RelayedPair>();
  private state: LinkState = 'open';

  private constructor(private readonly options: LinkRelayOptions) {
    this.server = createServer(near => this.handleConnection(near));
  }

  /**
   * Creates a relay; nothing listens before `start`.
   * @param options - Target, delay and bandwidth.
   */
  static create(options: LinkRelayOptions): LinkRelay {
    return new LinkRelay(options);
  }

  /**
   * Listens and returns the port.
   * @param port - Port, or 0 for a free one.
   */
  start(port = 0): Promise<number> {
    return new Promise(resolve => {
      this.server.listen(port, '127.0.0.1', () =>
        resolve((this.server.address() as AddressInfo).port),
      );
    });
  }

  /**
   * Sets the state of the link, for existing and new connections.
   * @param state - New state.
   */
  setState(state: LinkState): void {
    this.state = state;
    for (const pair of this.pairs) {
      if (state === 'cut') destroyPair(pair);
      pair.isSilent = state === 'silent' || pair.isSilent;
    }
  }

  /** Makes existing connections silent for good while new ones work. */
  silenceExisting(): void {
    for (const pair of this.pairs) pair.isSilent = true;
  }

  /** Ends the relay. */
  stop(): void {
    for (const pair of this.pairs) destroyPair(pair);
    this.server.close();
  }

  private handleConnection(near: Socket): void {
    if (this.state === 'cut') {
      near.destroy();
      return;
    }
    const {targetHost, targetPort} = this.options;
    const far = connect(targetPort, targetHost);
    const pair: RelayedPair = {near, far, isSilent: this.state === 'silent'};
    this.pairs.add(pair);
    near.setNoDelay(true);
    far.setNoDelay(true);
    this.pipe(pair, near, far, this.options.forward);
    this.pipe(pair, far, near, this.options.backward);
  }

  private pipe(
    pair: RelayedPair,
    from: Socket,
    to: Socket,
    bandwidth: SharedBandwidth | undefined,
  ): void {
    const {clock, delayMs} = this.options;
    from.on('data', data => {
      if (pair.isSilent) return;
      const queueMs = bandwidth?.addBytes(data.length) ?? 0;
      clock.setTimer(delayMs + queueMs, () => {
        if (!pair.isSilent && !to.destroyed) to.write(data);
      });
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      this.pairs.delete(pair);
      if (pair.isSilent) return;
      clock.setTimer(delayMs, () => to.destroy());
    });
  }
}

function destroyPair(pair: RelayedPair): void {
  pair.near.destroy();
  pair.far.destroy();
}
