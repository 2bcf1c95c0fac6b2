import {expect} from 'chai';
import {RandomSource} from '@mustardlug/base/random_source';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {JobWorkerModel} from '../src/job_worker_model.js';
import {
  createDefaultJobWorkerLinkFaults,
  ModelJobWorkerClient,
} from '../src/model_job_worker_client.js';
import {NodeClock} from '../src/node_clock.js';

const LONG_DOWN_MS = 2_000;
const SHORT_DOWN_MS = 100;

/** A worker that goes down with calls on their way to it. */
class DownScenario {
  readonly clock = VirtualClock.create();
  readonly startDelaysMs: number[] = [];
  readonly faults = createDefaultJobWorkerLinkFaults();
  readonly worker = JobWorkerModel.create({
    clock: this.clock,
    record: {
      workerId: 'worker-0',
      address: 'worker-0:80',
      serviceName: 'class-desk',
      failureDomain: 'north-a',
      isDraining: false,
      capacity: {cpuMillis: 8_000, memoryMb: 4_000, accelerators: 0},
      labels: [],
      rack: 'rack-1',
      startMs: 1,
    },
    getTaskDurationMs: () => 10_000,
    isFailing: () => false,
    observer: {
      onWorkerStarted: () => {},
      onCapacityChanged: () => {},
      onRunStarted: (_workerId, _taskName, _runNumber, delayMs) =>
        this.startDelaysMs.push(delayMs),
      onRunEnded: () => {},
      onEndAcknowledged: () => {},
    },
  });
  readonly outcomes: string[] = [];
  private readonly client = ModelJobWorkerClient.create({
    clock: this.clock,
    nodeClock: NodeClock.create(this.clock),
    workers: new Map([['worker-0', this.worker]]),
    faults: this.faults,
    random: RandomSource.create(1),
  });

  /** Sends a start and a renewal to the worker while it is down. */
  async run(downMs: number): Promise<void> {
    const worker = this.worker.getRecord();
    this.worker.crash();
    const call = {worker, fencingToken: 1};
    const start = this.client.startRun({
      ...call,
      taskName: 'task',
      runNumber: 1,
      specification: '',
      checkpoint: '',
      leaseUntilMs: 5_000,
    });
    void start.then(outcome =>
      this.outcomes.push(`start ${outcome.isOk() ? 'answered' : 'lost'}`),
    );
    const renewal = this.client.renewLease({
      ...call,
      acknowledgedSequence: 0,
      waitMs: 2_000,
    });
    void renewal.then(outcome =>
      this.outcomes.push(`renewal ${outcome.isOk() ? 'answered' : 'lost'}`),
    );
    await this.clock.advance(downMs);
    this.worker.restart();
    await this.clock.advance(5_000);
  }
}

describe('calls to a worker that is down', () => {
  it('are lost by default', async () => {
    const scenario = new DownScenario();
    await scenario.run(SHORT_DOWN_MS);
    expect(scenario.outcomes).to.deep.equal(['start lost', 'renewal lost']);
    expect(scenario.startDelaysMs).to.deep.equal([]);
  });

  it('are executed and answered by the next process if they are held', async () => {
    const scenario = new DownScenario();
    scenario.faults.holdMs = 5_000;
    await scenario.run(SHORT_DOWN_MS);
    expect(scenario.outcomes).to.deep.equal([
      'start answered',
      'renewal answered',
    ]);
    expect(scenario.startDelaysMs[0]).to.be.at.least(SHORT_DOWN_MS - 2);
  });

  it('are executed by the next process although their callers have given up', async () => {
    const scenario = new DownScenario();
    scenario.faults.holdMs = 5_000;
    await scenario.run(LONG_DOWN_MS);
    expect(scenario.outcomes).to.deep.equal(['start lost', 'renewal lost']);
    expect(scenario.startDelaysMs[0]).to.be.at.least(LONG_DOWN_MS - 2);
  });

  it('are lost if the worker is down for longer', async () => {
    const scenario = new DownScenario();
    scenario.faults.holdMs = 1_000;
    await scenario.run(LONG_DOWN_MS);
    expect(scenario.outcomes).to.deep.equal(['start lost', 'renewal lost']);
    expect(scenario.startDelaysMs).to.deep.equal([]);
  });
});
