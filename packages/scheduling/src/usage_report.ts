/** Adds up usage rows: where every core-hour went. */

import {UsageRecord} from './usage_recorder.js';

/** Usage of one owner. */
export interface OwnerTotal {
  readonly team: string;
  readonly kind: 'service' | 'batch';
  readonly name: string;
  coreMs: number;
  lostCoreMs: number;
}

/** A span without rows of its own; its usage is known only as a sum. */
export interface UsageGap {
  readonly workerId: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Usage of all workers. */
export interface UsageReport {
  readonly owners: readonly OwnerTotal[];
  readonly totalCoreMs: number;
  readonly idleCoreMs: number;
  readonly lostCoreMs: number;
  readonly gaps: readonly UsageGap[];
}

/** Rows further apart than this many intervals leave a gap. */
const GAP_INTERVALS = 1.5;

/**
 * Creates the report from all rows.
 * @param rows - Usage rows in any order.
 * @param intervalMs - Interval at which rows are written.
 */
export function createUsageReport(
  rows: readonly UsageRecord[],
  intervalMs: number,
): UsageReport {
  const owners = new Map<string, OwnerTotal>();
  const gaps: UsageGap[] = [];
  let totalCoreMs = 0;
  for (const boot of groupByBoot(rows)) {
    const last = boot[boot.length - 1];
    // Rows are cumulative, so the last one of a boot holds its whole usage.
    totalCoreMs += last.uptimeMs * last.cores;
    for (const usage of last.usage) addOwner(owners, usage);
    gaps.push(...getGaps(boot, intervalMs));
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
  owners: Map<string, OwnerTotal>,
  usage: UsageRecord['usage'][number],
): void {
  const {team, kind, name, coreMs, lostCoreMs} = usage;
  const key = `${team}/${kind}/${name}`;
  const known = owners.get(key);
  if (known === undefined) {
    owners.set(key, {team, kind, name, coreMs, lostCoreMs});
    return;
  }
  known.coreMs += coreMs;
  known.lostCoreMs += lostCoreMs;
}

function getGaps(boot: readonly UsageRecord[], intervalMs: number): UsageGap[] {
  const gaps: UsageGap[] = [];
  for (let index = 1; index < boot.length; index++) {
    const fromMs = boot[index - 1].intervalStartMs;
    const toMs = boot[index].intervalStartMs;
    if (toMs - fromMs <= GAP_INTERVALS * intervalMs) continue;
    gaps.push({workerId: boot[index].workerId, fromMs, toMs});
  }
  return gaps;
}

function sum(values: readonly number[]): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
