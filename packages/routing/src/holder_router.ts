/** Selects the lease holder for a request: by distance, then by the power of two choices. */

import {RandomSource} from '@mustardlug/base/random_source';
import {ServiceLoad} from '@mustardlug/protocol/messages';

/** Distance of a holder from this process in the topology. */
export type Distance = 'same-domain' | 'same-region' | 'other-region';

/** Reachable lease holder. */
export interface HolderCandidate {
  readonly nodeId: string;
  readonly distance: Distance;
  readonly load: ServiceLoad;
  /** Requests that this process sent since the holder last reported its load. */
  readonly requestsSinceReport: number;
}

const DISTANCES: readonly Distance[] = [
  'same-domain',
  'same-region',
  'other-region',
];

/** Load per slot at which requests spill over from a holder to more distant ones. */
const SPILLOVER_LOAD_RATIO = 1;

/**
 * Chooses a holder from the nearest distance that has spare capacity, or the
 * least loaded one if all are at capacity.
 * @param candidates - Reachable holders; those without slots are ignored.
 * @param random - Source of the random choices.
 * @returns `undefined` if no candidate has slots.
 */
export function chooseHolder(
  candidates: readonly HolderCandidate[],
  random: RandomSource,
): HolderCandidate | undefined {
  const usable = candidates.filter(candidate => candidate.load.slots > 0);
  for (const distance of DISTANCES) {
    const available = usable.filter(
      candidate =>
        candidate.distance === distance &&
        getLoadRatio(candidate) < SPILLOVER_LOAD_RATIO,
    );
    if (available.length > 0) return chooseByPowerOfTwo(available, random);
  }
  return getLeastLoaded(usable);
}

function chooseByPowerOfTwo(
  candidates: readonly HolderCandidate[],
  random: RandomSource,
): HolderCandidate {
  const first = chooseWeightedBySlots(candidates, random);
  const second = chooseWeightedBySlots(candidates, random);
  return getLoadRatio(first) <= getLoadRatio(second) ? first : second;
}

/**
 * Samples in proportion to slots, so that holders of different size reach the
 * same load per slot.
 */
function chooseWeightedBySlots(
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
  return (inProgress + queued + candidate.requestsSinceReport) / slots;
}
