import {
  ActiveRun,
  RunPerformanceModel,
} from '@mustardlug/standins/run_performance_model';
import {createSampleStep} from '@mustardlug/standins/sample_jobs';
import {expect} from 'chai';
import {JobHarness} from '../src/job_harness.js';

/** Time for the first elections. */
const START_MS = 2_500;

/** Time in which a submitted task starts. */
const SETTLE_MS = 1_000;

/** Time for the election of another coordinator and its first reports. */
const TAKEOVER_MS = 10_000;

const WORKER_ID = 'worker-0';

/** Term of the coordinator that places the filler, the second one after the start of the nodes. */
const PLACING_TERM = 2;

/** Runs at the speed that their CPU limit allows. */
class LimitedSpeedModel extends RunPerformanceModel {
  override getSpeed(run: ActiveRun): number {
    return run.cpuLimitPercent / 100;
  }

  override getResponseMs(): number {
    return 0;
  }
}

describe('a filler that the previous coordinator paused', () => {
  it('is resumed when its worker has no serving task', async () => {
    const performanceModel = new LimitedSpeedModel();
    const harness = JobHarness.create({workers: 1, performanceModel});
    await harness.advance(START_MS);
    const filler = createSampleStep(1, {isFiller: true, estimatedMs: 30_000});
    await harness.submit([filler]);
    await harness.advance(SETTLE_MS);
    const worker = harness.workers.get(WORKER_ID)!;
    const [{taskName, runNumber}] = worker.getRuns();
    const pause = worker.setCpuLimit({
      worker: worker.getRecord(),
      taskName,
      runNumber,
      fencingToken: PLACING_TERM,
      percent: 0,
    });
    expect(pause).to.equal('done');
    harness.killNode(harness.getCoordinator()!);
    await harness.advance(TAKEOVER_MS);
    const [run] = worker.getRuns();
    expect(run).to.include({taskName, runNumber, cpuLimitPercent: 100});
    expect(harness.checker.violations).to.deep.equal([]);
  });
});
