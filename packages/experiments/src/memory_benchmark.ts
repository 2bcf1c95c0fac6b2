/** Memory of a scheduler's task cache and of a worker's view, at several sizes. */

import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {createBatchRecord} from '@mustardlug/scheduling/job_expander';
import {TaskCache} from '@mustardlug/scheduling/task_cache';
import {getTaskKey, taskRecordSchema} from '@mustardlug/scheduling/task_record';
import {MemoryTable} from '@mustardlug/standins/memory_table';

/** Figures of one size. */
export interface MemoryFigures {
  readonly tasks: number;
  readonly isEnded: boolean;
  readonly heapMb: number;
  readonly bytesPerTask: number;
}

const DOMAIN = 'domain-a';
const BYTES_PER_MB = 1024 * 1024;

/**
 * Measures the heap that the cached rows of a domain take.
 * @param tasks - Number of rows.
 * @param isEnded - Whether they are of tasks that have ended.
 */
export function measureTaskMemory(
  tasks: number,
  isEnded: boolean,
): MemoryFigures {
  const collectGarbage = getGarbageCollector();
  const table = MemoryTable.create(VirtualClock.create());
  const cache = TaskCache.create(table, DOMAIN);
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  for (let index = 0; index < tasks; index++) addTask(cache, index, isEnded);
  collectGarbage();
  const usedBytes = process.memoryUsage().heapUsed - before;
  const kept = isEnded
    ? [...cache.getEndedTasks()].length
    : cache.getPendingTasks().length;
  return {
    tasks: kept,
    isEnded,
    heapMb: usedBytes / BYTES_PER_MB,
    bytesPerTask: usedBytes / kept,
  };
}

function addTask(cache: TaskCache, index: number, isEnded: boolean): void {
  const taskId = `batch.nightly-report-${index % 100}.${index}`;
  const record = createBatchRecord(
    {
      name: `nightly-report-${index % 100}`,
      team: `team-${index % 170}`,
      tasks: 1,
      resources: {cores: 1, memoryMb: 1_000, accelerators: 0},
      expectedRunMs: 17_000,
      isUrgent: false,
      maxAttempts: 5,
    },
    taskId,
    `token-${index}`,
    index,
  );
  const state = isEnded ? 'done' : 'pending';
  // Rows come as JSON, so their strings are not shared.
  const text = JSON.stringify({...record, state});
  const read = taskRecordSchema.parse(JSON.parse(text));
  cache.applyRecord(getTaskKey(DOMAIN, taskId), read, index + 1);
}

function getGarbageCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}
