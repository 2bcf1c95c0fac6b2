/** Clients on raw TCP connections that do not keep to the usual course of a request. */

import {connect, Socket} from 'node:net';
import {Clock} from '@mustardlug/base/clock';

const HOST = '127.0.0.1';
const PROGRESS_CHECK_MS = 500;
/** Checks without progress after which a crowd has sent what the process accepts. */
const IDLE_CHECKS = 4;
const MAX_SETTLE_CHECKS = 60;

/** What each client of a crowd does. */
export interface CrowdPlan {
  readonly port: number;
  readonly clients: number;
  /** Creates the pieces that a client sends, each in one write. */
  readonly createPieces: () => Iterable<Buffer>;
  /** Whether the client reads responses. */
  readonly isReading: boolean;
  /** Pause between two pieces; 0 for none. */
  readonly pauseMs?: number;
}

/** A number of clients with the same plan. Their connections stay open until `stop` or until the process closes them. */
export class ClientCrowd {
  private readonly sockets: Socket[] = [];
  private sentPieces = 0;
  private isStopped = false;

  private constructor(
    private readonly plan: CrowdPlan,
    private readonly clock: Clock,
  ) {}

  /** Connects all clients and lets them begin to send. */
  static start(plan: CrowdPlan, clock: Clock): ClientCrowd {
    const crowd = new ClientCrowd(plan, clock);
    for (let index = 0; index < plan.clients; index++) crowd.addClient();
    return crowd;
  }

  /** Waits until no client makes progress any more, or for half a minute. */
  async settle(): Promise<void> {
    let idleChecks = 0;
    let lastProgress = -1;
    for (let check = 0; check < MAX_SETTLE_CHECKS; check++) {
      await this.clock.sleep(PROGRESS_CHECK_MS);
      const progress = this.getProgress();
      idleChecks = progress === lastProgress ? idleChecks + 1 : 0;
      if (idleChecks >= IDLE_CHECKS) return;
      lastProgress = progress;
    }
  }

  stop(): void {
    this.isStopped = true;
    for (const socket of this.sockets) socket.destroy();
  }

  private getProgress(): number {
    let progress = this.sentPieces;
    for (const socket of this.sockets) {
      progress += socket.bytesWritten - socket.writableLength;
      progress += socket.bytesRead;
    }
    return progress;
  }

  private addClient(): void {
    const socket = connect({host: HOST, port: this.plan.port});
    this.sockets.push(socket);
    // A refusal may reset the connection.
    socket.on('error', () => undefined);
    if (this.plan.isReading) socket.resume();
    socket.once('connect', () => void this.send(socket));
  }

  private async send(socket: Socket): Promise<void> {
    for (const piece of this.plan.createPieces()) {
      if (this.isStopped || socket.destroyed) return;
      const isAccepted = socket.write(piece);
      this.sentPieces++;
      if (!isAccepted) await waitForDrain(socket);
      const pauseMs = this.plan.pauseMs ?? 0;
      if (pauseMs > 0) await this.clock.sleep(pauseMs);
    }
  }
}

function waitForDrain(socket: Socket): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      socket.off('drain', finish);
      socket.off('close', finish);
      resolve();
    };
    socket.on('drain', finish);
    socket.on('close', finish);
  });
}
