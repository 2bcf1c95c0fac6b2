import {StartRunCommand} from '@mustardlug/platform/job_worker_client';
import {RunCommandOutcome} from '@mustardlug/standins/job_worker_model';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

const START_MS = 2_500;

/** Time in which another node takes the role over and starts the waiting tasks. */
const TAKEOVER_MS = 8_000;

/** Start commands that the workers received, in order. */
class StartRecorder {
  readonly commands: StartRunCommand[] = [];
  /** Whether the workers refuse all starts for want of capacity. */
  isRefusing = false;

  private constructor(harness: JobHarness) {
    for (const worker of harness.workers.values()) {
      const start = worker.start.bind(worker);
      worker.start = (command): RunCommandOutcome | undefined => {
        this.commands.push(command);
        return this.isRefusing ? 'no-room' : start(command);
      };
    }
  }

  static create(harness: JobHarness): StartRecorder {
    return new StartRecorder(harness);
  }

  /** Gets the lowest and highest run number of each term, by its fencing token. */
  getRanges(): Array<{lowest: number; highest: number}> {
    const numbersByTerm = new Map<number, number[]>();
    for (const {fencingToken, runNumber} of this.commands) {
      const numbers = numbersByTerm.get(fencingToken) ?? [];
      numbers.push(runNumber);
      numbersByTerm.set(fencingToken, numbers);
    }
    return [...numbersByTerm.values()].map(numbers => ({
      lowest: Math.min(...numbers),
      highest: Math.max(...numbers),
    }));
  }
}

async function killCoordinator(harness: JobHarness): Promise<void> {
  const coordinator = harness.getCoordinator();
  if (coordinator !== undefined) harness.killNode(coordinator);
  await harness.advance(TAKEOVER_MS);
}

function expectRisingRanges(recorder: StartRecorder): void {
  const [first, second] = recorder.getRanges();
  expect(second.lowest).to.be.above(first.highest);
}

describe('run numbers', () => {
  it('rise across a takeover after a minute of refused starts', async () => {
    const harness = JobHarness.create({workers: 16});
    const recorder = StartRecorder.create(harness);
    recorder.isRefusing = true;
    await harness.advance(START_MS);
    await harness.submit([createSampleStep(1)]);
    await harness.advance(60_000);
    recorder.isRefusing = false;
    await killCoordinator(harness);
    expectRisingRanges(recorder);
  });

  it('rise across a takeover after a gang had to wait for capacity', async () => {
    const harness = JobHarness.create({workers: 2});
    const recorder = StartRecorder.create(harness);
    harness.register('worker-1', {isDraining: true});
    await harness.advance(START_MS);
    const fields = {isGang: true, isLongRunning: true};
    await harness.submit([createSampleStep(5, fields)]);
    for (let round = 0; round < 60; round++) {
      await harness.submit([createSampleStep(1, {estimatedMs: 20})]);
      await harness.advance(5_000);
    }
    harness.register('worker-1');
    await harness.advance(1_000);
    await killCoordinator(harness);
    harness.workers.get('worker-0')?.crash();
    harness.workers.get('worker-0')?.restart();
    harness.register('worker-0');
    await harness.advance(5_000);
    expectRisingRanges(recorder);
  });
});
