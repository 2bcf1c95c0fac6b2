/** Rendezvous (highest random weight) hashing. */

import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/**
 * Orders the members by preference for a key.
 *
 * The weight of a member depends only on the member and the key, so a change of
 * membership reassigns only the keys of members that joined or left.
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
 * Gets the rank of a member in the preference order of a key, 0 for the first.
 * @param key - Key to place.
 * @param members - Candidates.
 * @param member - Member to rank.
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
 * Gets the preference orders of many keys, with the first ranks balanced.
 *
 * Plain rendezvous hashing can assign most of a small set of keys to one member,
 * whose failure would then affect most keys. Here no member is first for more
 * than an even share of the keys, rounded up. If the preferred member of a key
 * has reached its share, the next member in order becomes the first.
 * @param keys - Keys to place.
 * @param members - Candidates.
 * @returns Members in order of preference, by key.
 */
export function getBalancedPreferenceOrders(
  keys: readonly string[],
  members: readonly string[],
): Map<string, string[]> {
  const orders = new Map<string, string[]>();
  const firstCounts = new Map<string, number>();
  const maxFirstCount = Math.ceil(keys.length / Math.max(1, members.length));
  for (const key of [...keys].sort()) {
    const order = getPreferenceOrder(key, members);
    const chosen = order.findIndex(
      member => (firstCounts.get(member) ?? 0) < maxFirstCount,
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
