/** Differences between two decoded values. */

import {isDeepStrictEqual} from 'node:util';
import {PathSegment} from './configuration_format.js';

/** A value that differs; `undefined` on one side if it was added or removed. */
export interface Difference {
  readonly path: readonly PathSegment[];
  readonly before: unknown;
  readonly after: unknown;
}

/**
 * Gets the differences between two values. Elements of arrays are matched by
 * their field `name` if all have a distinct one, so that a moved element does not
 * differ; else by their index.
 * @param before - Earlier value.
 * @param after - Later value.
 */
export function getDifferences(before: unknown, after: unknown): Difference[] {
  const differences: Difference[] = [];
  addDifferences([], before, after, differences);
  return differences;
}

function addDifferences(
  path: readonly PathSegment[],
  before: unknown,
  after: unknown,
  differences: Difference[],
): void {
  if (isDeepStrictEqual(before, after)) return;
  const entries = getMatchedEntries(before, after);
  if (entries === undefined) {
    differences.push({path, before, after});
    return;
  }
  for (const [segment, left, right] of entries) {
    addDifferences([...path, segment], left, right, differences);
  }
}

type MatchedEntry = readonly [PathSegment, unknown, unknown];

function getMatchedEntries(
  before: unknown,
  after: unknown,
): MatchedEntry[] | undefined {
  if (Array.isArray(before) && Array.isArray(after)) {
    const left = getElementsByName(before);
    const right = getElementsByName(after);
    if (left !== undefined && right !== undefined) {
      return getKeys(left, right).map(name => [
        {name},
        left.get(name),
        right.get(name),
      ]);
    }
    const length = Math.max(before.length, after.length);
    return Array.from({length}, (_, index) => [
      index,
      before[index] as unknown,
      after[index] as unknown,
    ]);
  }
  if (!isRecord(before) || !isRecord(after)) return undefined;
  const left = new Map(Object.entries(before));
  const right = new Map(Object.entries(after));
  return getKeys(left, right).map(key => [key, left.get(key), right.get(key)]);
}

function getElementsByName(
  values: readonly unknown[],
): Map<string, unknown> | undefined {
  const byName = new Map<string, unknown>();
  for (const value of values) {
    if (!isRecord(value) || typeof value.name !== 'string') return undefined;
    if (byName.has(value.name)) return undefined;
    byName.set(value.name, value);
  }
  return byName;
}

function getKeys(
  left: ReadonlyMap<string, unknown>,
  right: ReadonlyMap<string, unknown>,
): string[] {
  return [...new Set([...left.keys(), ...right.keys()])];
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
