/** Evacuation states for tests. */

import {EvacuationState} from '../src/evacuations.js';

/** State without evacuated domains, which is always known. */
export const NO_EVACUATIONS: EvacuationState = {
  isEvacuated: () => false,
  isCurrent: () => true,
};
