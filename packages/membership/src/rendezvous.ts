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

/**
 * Gets the preference orders of many keys, with the first places shared evenly.
 *
 * Plain rendezvous hashing may give most of a few keys to one member, whose
 * death would then hurt most. Here no member is first for more than its even
 * share, rounded up; a key that finds its first member full moves on to the next.
 * @param keys - Keys to place.
 * @param members - Candidates.
 * @returns Members in order of preference, by key.
 */
export function getBalancedOrders(
  keys: readonly string[],
  members: readonly string[],
): Map<string, string[]> {
  const orders = new Map<string, string[]>();
  const firstCounts = new Map<string, number>();
  const limit = Math.ceil(keys.length / Math.max(1, members.length));
  for (const key of [...keys].sort()) {
    const order = getPreferenceOrder(key, members);
    const chosen = order.findIndex(
      member => (firstCounts.get(member) ?? 0) < limit,
    );
    const [first] = order.splice(Math.max(0, chosen), 1);
    if (first !== undefined) {
      order.unshift(first);
      firstCounts.set(first, (firstCounts.get(first) ?? 0) + 1);
    }
    orders.set(key, order);
  }
  return orders;
}
