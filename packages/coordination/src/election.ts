/** Decides when this node takes the coordinator's role, from the board alone. */

import {Board} from './board.js';

/** Age of the board beyond which its holder counts as lost. */
const BOARD_LAPSE_MS = 1_200;

/** Longest stretch between two answers of the store that counts as observed. */
const MAX_OBSERVED_STRETCH_MS = 600;

/** Weight of the store's round trip in the delay: nodes close to the store go first. */
const ROUND_TRIP_FACTOR = 8;

/** Observes the board and says whether its holder is lost. */
export class Election {
  private board: Board | undefined;
  private hasReadBoard = false;
  private hasLostStore = false;
  private lastAnswerMs: number | undefined;
  /** Time for which the board was observed unchanged, without gaps in the answers. */
  private observedUnchangedMs = 0;
  private roundTripMs = 0;

  private constructor() {}

  /** Creates an election that has not seen the board. */
  static create(): Election {
    return new Election();
  }

  /** Gets the last board that was seen. */
  getBoard(): Board | undefined {
    return this.board;
  }

  /**
   * Notes how long a call to the store took.
   * @param durationMs - Round trip in milliseconds.
   */
  noteRoundTrip(durationMs: number): void {
    this.roundTripMs =
      this.roundTripMs === 0
        ? durationMs
        : Math.min(this.roundTripMs, durationMs);
  }

  /**
   * Notes the board as the store returned it.
   * @param board - Board, or `undefined` when none exists.
   */
  noteBoard(board: Board | undefined): void {
    this.board = board;
    this.hasReadBoard = true;
    this.observedUnchangedMs = 0;
  }

  /**
   * Notes that the store answered.
   * @param nowMs - Monotonic time of the answer.
   */
  noteAnswer(nowMs: number): void {
    if (this.lastAnswerMs !== undefined) {
      this.observedUnchangedMs += Math.min(
        nowMs - this.lastAnswerMs,
        MAX_OBSERVED_STRETCH_MS,
      );
    }
    this.lastAnswerMs = nowMs;
  }

  /** Notes that the store did not answer; the holder may not reach it either. */
  noteStoreLost(): void {
    this.hasLostStore = true;
    this.observedUnchangedMs = 0;
    this.lastAnswerMs = undefined;
  }

  /**
   * Checks whether this node should try to take over now.
   * @param storeMs - Time of the store at its last answer.
   */
  isTakeoverDue(storeMs: number): boolean {
    if (!this.hasReadBoard) return false;
    if (this.board === undefined) return true;
    if (this.board.holder === '') return true;
    const lapseMs = BOARD_LAPSE_MS + ROUND_TRIP_FACTOR * this.roundTripMs;
    if (storeMs - this.board.writtenStoreMs <= lapseMs) return false;
    // After an outage of the store its holder needs time to write again.
    return !this.hasLostStore || this.observedUnchangedMs > lapseMs;
  }
}
