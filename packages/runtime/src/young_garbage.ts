/** Collects the garbage of received bodies before it adds up. */

import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

type CollectGarbage = (options: {readonly type: 'minor'}) => void;

/**
 * Collects young garbage each time a number of bytes has been received.
 *
 * The pieces of a body are buffers outside of the heap of V8. Their memory is returned
 * by collections, which V8 starts by what is allocated inside of the heap, or only
 * after 64 MB outside of it: 100 clients with bodies of 262,144 bytes let a node that
 * idles at 92 MB take 414 MB. A collection of young garbage takes 0.3 to 1 ms.
 */
export class YoungGarbageCollector {
  private bytes = 0;

  private constructor(
    private readonly intervalBytes: number,
    private readonly collect: CollectGarbage,
  ) {}

  /**
   * Creates a collector.
   * @param intervalBytes - Bytes after which garbage is collected.
   */
  static create(intervalBytes: number): YoungGarbageCollector {
    setFlagsFromString('--expose-gc');
    const collect = runInNewContext('gc') as CollectGarbage;
    return new YoungGarbageCollector(intervalBytes, collect);
  }

  /** Adds bytes that were allocated and will be garbage soon. */
  add(bytes: number): void {
    this.bytes += bytes;
    if (this.bytes < this.intervalBytes) return;
    this.bytes = 0;
    this.collect({type: 'minor'});
  }
}
