/**
 * TCP relay that simulates a network link: latency, shared bandwidth, connection
 * resets, and connections that silently drop all data while new ones work.
 */

import {AddressInfo, connect, createServer, Server, Socket} from 'node:net';
import {Clock} from '@mustardlug/base/clock';

/**
 * State of a link: `cut` closes connections and rejects new ones, `silent` drops
 * all data without closing.
 */
export type LinkState = 'open' | 'cut' | 'silent';

/** Limits the bandwidth of one direction of a link that several relays share. */
export class BandwidthLimiter {
  /** Monotonic time at which all reserved bytes have been sent. */
  private freeAtMs = 0;
  private transferredBytes = 0;

  private constructor(
    private readonly bytesPerMs: number,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a limiter for one direction of a link.
   * @param bitsPerS - Bandwidth in bits per second.
   * @param clock - Clock of the process.
   */
  static create(bitsPerS: number, clock: Clock): BandwidthLimiter {
    return new BandwidthLimiter(bitsPerS / 8 / 1_000, clock);
  }

  /** Gets the number of bytes transferred so far. */
  getTransferredBytes(): number {
    return this.transferredBytes;
  }

  /**
   * Reserves bandwidth for bytes, queued behind earlier reservations.
   * @param bytes - Number of bytes.
   * @returns Time in milliseconds until the last byte has been sent.
   */
  reserve(bytes: number): number {
    const nowMs = this.clock.getMonotonicMs();
    this.transferredBytes += bytes;
    this.freeAtMs = Math.max(this.freeAtMs, nowMs) + bytes / this.bytesPerMs;
    return this.freeAtMs - nowMs;
  }
}

/** Options of a link relay. */
export interface LinkRelayOptions {
  readonly targetHost: string;
  readonly targetPort: number;
  readonly delayMs: number;
  readonly clock: Clock;
  /** Bandwidth towards the target; absent means unlimited. */
  readonly forward?: BandwidthLimiter;
  /** Bandwidth from the target; absent means unlimited. */
  readonly backward?: BandwidthLimiter;
}

/** Accepted connection and the connection to the target. */
interface RelayedConnection {
  readonly inbound: Socket;
  readonly outbound: Socket;
  isSilent: boolean;
}

/** Accepts TCP connections and forwards them to a target. */
export class LinkRelay {
  private readonly server: Server;
  private readonly connections = new Set<RelayedConnection>();
  private state: LinkState = 'open';

  private constructor(private readonly options: LinkRelayOptions) {
    this.server = createServer(inbound => this.handleConnection(inbound));
  }

  /**
   * Creates a relay. It listens once `start` is called.
   * @param options - Target, delay and bandwidth.
   */
  static create(options: LinkRelayOptions): LinkRelay {
    return new LinkRelay(options);
  }

  /**
   * Starts listening.
   * @param port - Port, or 0 for a free one.
   * @returns The port that is in use.
   */
  start(port = 0): Promise<number> {
    return new Promise(resolve => {
      this.server.listen(port, '127.0.0.1', () =>
        resolve((this.server.address() as AddressInfo).port),
      );
    });
  }

  /**
   * Sets the state of the link for existing and new connections. Silent connections
   * stay silent when the link is opened again.
   * @param state - New state.
   */
  setState(state: LinkState): void {
    this.state = state;
    for (const connection of this.connections) {
      if (state === 'cut') destroyConnection(connection);
      connection.isSilent = state === 'silent' || connection.isSilent;
    }
  }

  /** Drops all further data on existing connections; new connections work. */
  silenceExistingConnections(): void {
    for (const connection of this.connections) connection.isSilent = true;
  }

  /** Closes all connections and stops listening. */
  stop(): void {
    for (const connection of this.connections) destroyConnection(connection);
    this.server.close();
  }

  private handleConnection(inbound: Socket): void {
    if (this.state === 'cut') {
      inbound.destroy();
      return;
    }
    const {targetHost, targetPort} = this.options;
    const outbound = connect(targetPort, targetHost);
    const connection: RelayedConnection = {
      inbound,
      outbound,
      isSilent: this.state === 'silent',
    };
    this.connections.add(connection);
    inbound.setNoDelay(true);
    outbound.setNoDelay(true);
    this.forwardData(connection, inbound, outbound, this.options.forward);
    this.forwardData(connection, outbound, inbound, this.options.backward);
  }

  private forwardData(
    connection: RelayedConnection,
    from: Socket,
    to: Socket,
    limiter: BandwidthLimiter | undefined,
  ): void {
    const {clock, delayMs} = this.options;
    from.on('data', data => {
      if (connection.isSilent) return;
      const sendMs = limiter?.reserve(data.length) ?? 0;
      clock.setTimer(delayMs + sendMs, () => {
        if (!connection.isSilent && !to.destroyed) to.write(data);
      });
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      this.connections.delete(connection);
      if (connection.isSilent) return;
      clock.setTimer(delayMs, () => to.destroy());
    });
  }
}

function destroyConnection(connection: RelayedConnection): void {
  connection.inbound.destroy();
  connection.outbound.destroy();
}
