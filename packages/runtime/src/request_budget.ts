/**
 * Budget for the bytes and connections that the clients of a listener hold.
 *
 * It addresses clients that open very many connections and leave bodies, requests
 * or responses unfinished on them. It performs no I/O and has no clock.
 */

export interface BudgetLimits {
  /** Maximum sum of the bytes reserved by all clients. */
  readonly maxBytes: number;
  /** Maximum number of clients. */
  readonly maxClients: number;
}

/**
 * What a client's connection waits for:
 * - `idle`: the head of a request.
 * - `receiving`: the rest of a request's body.
 * - `working`: this process; such a client is never evicted, as its job may be stored.
 * - `sending`: the client, which does not read its response.
 * - `closing`: the end of the connection after a refusal.
 */
export type ClientPhase =
  'idle' | 'receiving' | 'working' | 'sending' | 'closing';

/** What one client holds. Only the budget changes it. */
export interface BudgetShare {
  /** Closes the connection of a client that is evicted. */
  readonly onEviction: () => void;
  readonly bytes: number;
  readonly phase: ClientPhase;
  readonly phaseStartMs: number;
  readonly isOpen: boolean;
}

type MutableShare = {-readonly [K in keyof BudgetShare]: BudgetShare[K]};

/**
 * Time after which a client may be evicted for others. Honest callers send a body at
 * once and read a response at once.
 */
const MIN_EVICTION_AGE_MS = 1_000;

/** Phases of evictable clients, in the order of eviction; the longest in a phase goes first. */
const EVICTION_ORDER = ['closing', 'receiving', 'sending', 'idle'] as const;

/** Budget shared by the clients of a listener. */
export class RequestBudget {
  private reservedBytes = 0;
  private clientCount = 0;
  /** Shares by phase, in the order in which they entered it. */
  private readonly shares: Readonly<Record<ClientPhase, Set<MutableShare>>> = {
    idle: new Set(),
    receiving: new Set(),
    working: new Set(),
    sending: new Set(),
    closing: new Set(),
  };

  private constructor(private readonly limits: BudgetLimits) {}

  /**
   * Creates a budget without clients.
   * @param limits - Maximum bytes and clients.
   */
  static create(limits: BudgetLimits): RequestBudget {
    return new RequestBudget(limits);
  }

  /**
   * Admits a client, evicting others if the budget is short.
   * @param bytes - Bytes that the connection takes by itself.
   * @param nowMs - Monotonic time.
   * @param onEviction - Closes the connection if the client is evicted later.
   * @returns The client's share, or undefined if there is no room.
   */
  open(
    bytes: number,
    nowMs: number,
    onEviction: () => void,
  ): BudgetShare | undefined {
    while (this.clientCount >= this.limits.maxClients)
      if (!this.evict(nowMs, undefined)) return undefined;
    if (!this.makeRoom(bytes, nowMs, undefined)) return undefined;
    const share: MutableShare = {
      onEviction,
      bytes,
      phase: 'idle',
      phaseStartMs: nowMs,
      isOpen: true,
    };
    this.clientCount++;
    this.reservedBytes += bytes;
    this.shares.idle.add(share);
    return share;
  }

  /**
   * Reserves bytes for a client before they are kept, evicting others if the budget is short.
   * @param share - Share of the client.
   * @param bytes - Bytes to add to the share.
   * @param nowMs - Monotonic time.
   * @returns Whether the bytes are reserved.
   */
  reserve(share: BudgetShare, bytes: number, nowMs: number): boolean {
    if (!share.isOpen || !this.makeRoom(bytes, nowMs, share)) return false;
    (share as MutableShare).bytes += bytes;
    this.reservedBytes += bytes;
    return true;
  }

  /**
   * Returns reserved bytes. Has no effect on a closed share, whose bytes were returned with it.
   * @param share - Share of the client.
   * @param bytes - Bytes to take from the share.
   */
  release(share: BudgetShare, bytes: number): void {
    if (!share.isOpen) return;
    (share as MutableShare).bytes -= bytes;
    this.reservedBytes -= bytes;
  }

  /**
   * Records what the connection of a client waits for. The time in a phase goes on if
   * the phase is the same.
   * @param share - Share of the client.
   * @param phase - Phase from now on.
   * @param nowMs - Monotonic time.
   */
  setPhase(share: BudgetShare, phase: ClientPhase, nowMs: number): void {
    if (!share.isOpen || share.phase === phase) return;
    const mutable = share as MutableShare;
    this.shares[share.phase].delete(mutable);
    mutable.phase = phase;
    mutable.phaseStartMs = nowMs;
    this.shares[phase].add(mutable);
  }

  /** Returns all that a client holds. Closing twice has no effect. */
  close(share: BudgetShare): void {
    if (!share.isOpen) return;
    const mutable = share as MutableShare;
    mutable.isOpen = false;
    this.shares[share.phase].delete(mutable);
    this.clientCount--;
    this.reservedBytes -= share.bytes;
  }

  getReservedBytes(): number {
    return this.reservedBytes;
  }

  getClientCount(): number {
    return this.clientCount;
  }

  private makeRoom(
    bytes: number,
    nowMs: number,
    keeper: BudgetShare | undefined,
  ): boolean {
    const {maxBytes} = this.limits;
    // Eviction cannot help a client that exceeds the budget on its own.
    if ((keeper?.bytes ?? 0) + bytes > maxBytes) return false;
    while (this.reservedBytes + bytes > maxBytes)
      if (!this.evict(nowMs, keeper)) return false;
    return true;
  }

  /** Evicts the client that has kept a request unfinished for longest; false if there is none to evict. */
  private evict(nowMs: number, keeper: BudgetShare | undefined): boolean {
    for (const phase of EVICTION_ORDER) {
      const [oldest] = this.shares[phase];
      if (oldest === undefined) continue;
      const ageMs = nowMs - oldest.phaseStartMs;
      if (phase !== 'closing' && ageMs <= MIN_EVICTION_AGE_MS) continue;
      // The oldest client asks for more itself; it is refused instead.
      if (oldest === keeper) return false;
      this.close(oldest);
      oldest.onEviction();
      return true;
    }
    return false;
  }
}
