/** Chooses the holder for a request: nearest domain first, then the less loaded of two. */

import {RandomSource} from '@mustardlug/base/random_source';
import {ServiceLoad} from '@mustardlug/protocol/messages';

/** How far a holder is from this process. */
export type Distance = 'same-domain' | 'same-region' | 'other-region';

/** A holder that can be reached. */
export interface HolderCandidate {
  readonly nodeId: string;
  readonly distance: Distance;
  readonly load: ServiceLoad;
  /** Requests that this process sent since the load was measured. */
  readonly sentSince: number;
}

const DISTANCES: readonly Distance[] = [
  'same-domain',
  'same-region',
  'other-region',
];

/** Near holders are used until their load reaches this many times their slots. */
const SPILL_LOAD = 1;

/**
 * Chooses a holder.
 * @param candidates - Holders with at least one slot; others are passed over.
 * @param random - Random numbers.
 * @returns `undefined` when there is no holder.
 */
export function chooseHolder(
  candidates: readonly HolderCandidate[],
  random: RandomSource,
): HolderCandidate | undefined {
  const usable = candidates.filter(candidate => candidate.load.slots > 0);
  for (const distance of DISTANCES) {
    const near = usable.filter(
      candidate =>
        candidate.distance === distance && getLoadRatio(candidate) < SPILL_LOAD,
    );
    if (near.length > 0) return chooseLessLoaded(near, random);
  }
  return getLeastLoaded(usable);
}

function chooseLessLoaded(
  candidates: readonly HolderCandidate[],
  random: RandomSource,
): HolderCandidate {
  const first = chooseBySlots(candidates, random);
  const second = chooseBySlots(candidates, random);
  return getLoadRatio(first) <= getLoadRatio(second) ? first : second;
}

/** Holders with more slots are drawn more often, so that equal ratios mean equal use. */
function chooseBySlots(
  candidates: readonly HolderCandidate[],
  random: RandomSource,
): HolderCandidate {
  let total = 0;
  for (const candidate of candidates) total += candidate.load.slots;
  let position = random.getFloat() * total;
  for (const candidate of candidates) {
    position -= candidate.load.slots;
    if (position < 0) return candidate;
  }
  return candidates[candidates.length - 1];
}

function getLeastLoaded(
  candidates: readonly HolderCandidate[],
): HolderCandidate | undefined {
  let least: HolderCandidate | undefined;
  for (const candidate of candidates) {
    if (least === undefined || getLoadRatio(candidate) < getLoadRatio(least)) {
      least = candidate;
    }
  }
  return least;
}

function getLoadRatio(candidate: HolderCandidate): number {
  const {inProgress, queued, slots} = candidate.load;
  return (inProgress + queued + candidate.sentSince) / slots;
}
