/** Unique tokens that identify writes. */

import {randomUUID} from 'node:crypto';

/** Creates tokens. Tests use a deterministic implementation. */
export abstract class TokenSource {
  /** Gets a token that no other write has. */
  abstract getNext(): string;
}

/** Random tokens. */
export class RandomTokenSource extends TokenSource {
  private constructor() {
    super();
  }

  /** Creates a source. */
  static create(): RandomTokenSource {
    return new RandomTokenSource();
  }

  override getNext(): string {
    return randomUUID();
  }
}

/** Tokens with a prefix and a counter. */
export class CountingTokenSource extends TokenSource {
  private count = 0;

  private constructor(private readonly prefix: string) {
    super();
  }

  /**
   * Creates a source.
   * @param prefix - Prefix of the tokens. Must be unique among processes.
   */
  static create(prefix: string): CountingTokenSource {
    return new CountingTokenSource(prefix);
  }

  override getNext(): string {
    return `${this.prefix}-${++this.count}`;
  }
}
