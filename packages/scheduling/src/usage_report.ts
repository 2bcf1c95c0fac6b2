/** Aggregates usage rows into core time per team, service and batch job. */

import {UsageRecord} from './usage_recorder.js';

/** Total usage of one service or batch job of a team. */
export interface OwnerUsage {
  readonly team: string;
  readonly kind: 'service' | 'batch';
  readonly name: string;
  coreMs: number;
  /** Part of `coreMs` whose work was lost to failures and evictions. */
  lostCoreMs: number;
}

/** A period without usage rows; its usage is known only as a total. */
export interface UsageGap {
  readonly workerId: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Aggregated usage of all workers. */
export interface UsageReport {
  readonly owners: readonly OwnerUsage[];
  readonly totalCoreMs: number;
  readonly idleCoreMs: number;
  readonly lostCoreMs: number;
  readonly gaps: readonly UsageGap[];
}

/** Distance between consecutive rows, in intervals, above which a gap is reported. */
const GAP_INTERVALS = 1.5;

/**
 * Creates a usage report from usage rows.
 * @param rows - Usage rows in any order.
 * @param intervalMs - Interval at which rows are written.
 */
export function createUsageReport(
  rows: readonly UsageRecord[],
  intervalMs: number,
): UsageReport {
  const owners = new Map<string, OwnerUsage>();
  const gaps: UsageGap[] = [];
  let totalCoreMs = 0;
  for (const bootRows of groupByBoot(rows)) {
    const last = bootRows[bootRows.length - 1];
    // Rows are cumulative, so the last row of a boot contains its total usage.
    totalCoreMs += last.uptimeMs * last.cores;
    for (const usage of last.usage) addOwner(owners, usage);
    gaps.push(...getGaps(bootRows, intervalMs));
  }
  const list = [...owners.values()].sort(
    (left, right) => right.coreMs - left.coreMs,
  );
  const usedCoreMs = sum(list.map(owner => owner.coreMs));
  return {
    owners: list,
    totalCoreMs,
    idleCoreMs: totalCoreMs - usedCoreMs,
    lostCoreMs: sum(list.map(owner => owner.lostCoreMs)),
    gaps,
  };
}

function groupByBoot(rows: readonly UsageRecord[]): UsageRecord[][] {
  const groups = new Map<string, UsageRecord[]>();
  for (const row of rows) {
    const key = `${row.workerId}/${row.bootId}`;
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [row]);
    else group.push(row);
  }
  for (const group of groups.values()) {
    group.sort((left, right) => left.intervalStartMs - right.intervalStartMs);
  }
  return [...groups.values()];
}

function addOwner(
  owners: Map<string, OwnerUsage>,
  usage: UsageRecord['usage'][number],
): void {
  const {team, kind, name, coreMs, lostCoreMs} = usage;
  const key = `${team}/${kind}/${name}`;
  const existing = owners.get(key);
  if (existing === undefined) {
    owners.set(key, {team, kind, name, coreMs, lostCoreMs});
    return;
  }
  existing.coreMs += coreMs;
  existing.lostCoreMs += lostCoreMs;
}

function getGaps(
  bootRows: readonly UsageRecord[],
  intervalMs: number,
): UsageGap[] {
  const gaps: UsageGap[] = [];
  for (let index = 1; index < bootRows.length; index++) {
    const fromMs = bootRows[index - 1].intervalStartMs;
    const toMs = bootRows[index].intervalStartMs;
    if (toMs - fromMs <= GAP_INTERVALS * intervalMs) continue;
    gaps.push({workerId: bootRows[index].workerId, fromMs, toMs});
  }
  return gaps;
}

function sum(values: readonly number[]): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
