import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

const START_MS = 2_500;
const TASKS = 8;

/** Time after which a lease for the clock of a process lies far in the future of the next one. */
const UPTIME_MS = 40_000;

/** Time after its last run from which an interrupted long-running task must run again, and the time allowed for that. */
const MAX_ABSENCE_MS = 6_000 + 3_000;

/** Time for which a worker is down, and for which it is cut off then. */
const DOWN_MS = 600;
const CUT_MS = 13_000;

/** Time in which tasks run again that a cut interrupts. */
const OBSERVED_MS = 20_000;
const SAMPLING_INTERVAL_MS = 50;

/** Time for the start commands of tasks that were just submitted. */
const START_COMMANDS_MS = 700;

const TAKEOVER_TIMEOUT_MS = 20_000;

/** What happens before a worker is cut off. */
type Sequence =
  | 'nothing'
  | 'takeover'
  | 'takeover-then-submission'
  | 'restart'
  | 'restart-then-takeover';

const SEQUENCES: readonly Sequence[] = [
  'nothing',
  'takeover',
  'takeover-then-submission',
  'restart',
  'restart-then-takeover',
];

/** Long-running tasks on a fleet of which one worker is cut off. */
class WaitScenario {
  private readonly harness = JobHarness.create({
    nodes: 4,
    workers: 4,
    cpuMillis: 8_000,
    getTaskMs: () => Infinity,
  });
  private jobId = '';

  /** Gets the longest time for which a task was absent. */
  async run(sequence: Sequence, delayMs: number): Promise<number> {
    const {harness} = this;
    await harness.advance(START_MS);
    if (sequence === 'takeover-then-submission') {
      await harness.advance(UPTIME_MS);
      await this.takeOver();
      await this.submit();
    } else {
      await this.submit();
      await harness.advance(UPTIME_MS);
      if (sequence === 'takeover') await this.takeOver();
    }
    const workerId = this.getUsedWorker();
    if (sequence.startsWith('restart')) {
      harness.restartWorker(workerId, {delayMs: DOWN_MS});
      await harness.advance(DOWN_MS);
    }
    if (sequence === 'restart-then-takeover') await this.takeOver();
    await harness.advance(delayMs);
    this.cutOff(workerId);
    return this.getLongestAbsenceMs();
  }

  getViolations(): readonly string[] {
    return this.harness.checker.violations;
  }

  private async submit(): Promise<void> {
    const {jobId} = await this.harness.submit([
      createSampleStep(TASKS, {isLongRunning: true}),
    ]);
    this.jobId = jobId;
    await this.harness.advance(START_COMMANDS_MS);
  }

  private async takeOver(): Promise<void> {
    const {harness} = this;
    harness.killNode(harness.getCoordinator()!);
    harness.addNode('node-9');
    for (let ms = 0; ms < TAKEOVER_TIMEOUT_MS; ms += SAMPLING_INTERVAL_MS) {
      if (harness.getCoordinator() !== undefined) return;
      await harness.advance(SAMPLING_INTERVAL_MS);
    }
  }

  private getUsedWorker(): string {
    for (const [workerId, worker] of this.harness.workers) {
      if (worker.getRunCount() > 0) return workerId;
    }
    throw new Error('no worker runs a task');
  }

  private cutOff(workerId: string): void {
    const {harness} = this;
    for (const {linkFaults} of harness.nodes)
      linkFaults.unreachableWorkers.add(workerId);
    harness.clock.setTimer(CUT_MS, () => {
      for (const {linkFaults} of harness.nodes)
        linkFaults.unreachableWorkers.delete(workerId);
    });
  }

  private async getLongestAbsenceMs(): Promise<number> {
    let absenceMs = 0;
    let longestMs = 0;
    for (let ms = 0; ms < OBSERVED_MS; ms += SAMPLING_INTERVAL_MS) {
      await this.harness.advance(SAMPLING_INTERVAL_MS);
      const isComplete = this.countRuns() >= TASKS;
      absenceMs = isComplete ? 0 : absenceMs + SAMPLING_INTERVAL_MS;
      longestMs = Math.max(longestMs, absenceMs);
    }
    return longestMs;
  }

  private countRuns(): number {
    let count = 0;
    for (const worker of this.harness.workers.values()) {
      for (const {taskName} of worker.getRuns())
        if (taskName.startsWith(this.jobId)) count++;
    }
    return count;
  }
}

describe('long-running tasks on a worker that is cut off', () => {
  for (const sequence of SEQUENCES) {
    for (const delayMs of [100, 300, 1_000, 3_000, 6_000, 9_000]) {
      it(`run again in time, and once, ${delayMs} ms after: ${sequence}`, async () => {
        const scenario = new WaitScenario();
        const absenceMs = await scenario.run(sequence, delayMs);
        expect(scenario.getViolations()).to.deep.equal([]);
        expect(absenceMs).to.be.at.most(MAX_ABSENCE_MS);
      });
    }
  }

  it('are not waited for any longer after a takeover if their process was fenced before', async () => {
    const scenario = new WaitScenario();
    const absenceMs = await scenario.run('takeover', 300);
    expect(scenario.getViolations()).to.deep.equal([]);
    // The lease itself ends in this time; only the next start is added.
    expect(absenceMs).to.be.at.most(1_000);
  });
});
