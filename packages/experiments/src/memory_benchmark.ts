/** Measures the heap that a scheduler's task cache uses, by number of tasks. */

import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {createBatchRecord} from '@mustardlug/scheduling/job_expander';
import {TaskCache} from '@mustardlug/scheduling/task_cache';
import {getTaskKey, taskRecordSchema} from '@mustardlug/scheduling/task_record';
import {MemoryTable} from '@mustardlug/standins/memory_table';

/** Measurement for one number of tasks. */
export interface MemoryResult {
  readonly tasks: number;
  readonly isEnded: boolean;
  readonly heapMb: number;
  readonly bytesPerTask: number;
}

const DOMAIN = 'domain-a';
const BYTES_PER_MB = 1024 * 1024;

/**
 * Measures the heap that the cached task rows of a failure domain use.
 * @param tasks - Number of rows.
 * @param isEnded - Whether the tasks have ended.
 */
export function measureTaskMemory(
  tasks: number,
  isEnded: boolean,
): MemoryResult {
  const collectGarbage = getGarbageCollector();
  const table = MemoryTable.create(VirtualClock.create());
  const cache = TaskCache.create(table, DOMAIN);
  collectGarbage();
  const baselineBytes = process.memoryUsage().heapUsed;
  for (let index = 0; index < tasks; index++) addTask(cache, index, isEnded);
  collectGarbage();
  const usedBytes = process.memoryUsage().heapUsed - baselineBytes;
  const cachedCount = isEnded
    ? [...cache.getEndedTasks()].length
    : cache.getPendingTasks().length;
  return {
    tasks: cachedCount,
    isEnded,
    heapMb: usedBytes / BYTES_PER_MB,
    bytesPerTask: usedBytes / cachedCount,
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
  // Like rows read from the table service, each row is parsed from JSON, so that rows share no strings.
  const json = JSON.stringify({...record, state});
  const parsed = taskRecordSchema.parse(JSON.parse(json));
  cache.applyRecord(getTaskKey(DOMAIN, taskId), parsed, index + 1);
}

function getGarbageCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}
