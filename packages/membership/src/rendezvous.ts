/** Rendezvous (highest random weight) hashing. */

import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/**
 * Gets the members in order of preference for a key.
 *
 * Each member's weight depends on itself and the key alone, so a change of
 * membership moves only the keys of the members that came or left.
 * @param key - Key to place.
 * @param members - Candidates.
 */
export function getPreferenceOrder(
  key: string,
  members: readonly string[],
): string[] {
  const weighted = members.map(member => ({
    member,
    weight: hasher.h64(`${member}|${key}`),
  }));
  weighted.sort((left, right) => {
    if (left.weight !== right.weight) {
      return left.weight > right.weight ? -1 : 1;
    }
    return left.member < right.member ? -1 : 1;
  });
  return weighted.map(entry => entry.member);
}

/**
 * Gets a member's place in the order of preference, 0 for the first.
 * @param key - Key to place.
 * @param members - Candidates.
 * @param member - Member whose place is wanted.
 * @returns The number of candidates if the member is not one of them.
 */
export function getPreferenceRank(
  key: string,
  members: readonly string[],
  member: string,
): number {
  const rank = getPreferenceOrder(key, members).indexOf(member);
  return rank < 0 ? members.length : rank;
}
