import {expect} from 'chai';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {WorkerModel} from '../src/worker_model.js';

const CAPACITY = {cores: 8, memoryMb: 8_000, accelerators: 0};
const TTL_MS = 4_000;
const HOLDER = {scope: 'tasks', holderId: 'holder-1', ttlMs: TTL_MS} as const;
const REQUEST_HOLDER = {...HOLDER, scope: 'requests'} as const;
const ATTEMPT = {taskId: 'service.1', attempt: 1};
const START = {
  ...ATTEMPT,
  kind: 'service',
  team: 'team-a',
  name: 'class-desk',
  cores: 1,
  memoryMb: 500,
  accelerators: 0,
  expectedRunMs: 1_000,
  slots: 1,
  connections: 1,
} as const;

/** Boots two models at the same wall time, and grants the leases of both under equal epochs. */
function createBoots() {
  const clock = VirtualClock.create();
  const boots = ['boot-1', 'boot-2'].map(bootId => {
    const model = WorkerModel.create('worker-1', bootId, CAPACITY, clock);
    const token = model.requestLease(HOLDER)._unsafeUnwrap();
    model.requestLease(REQUEST_HOLDER)._unsafeUnwrap();
    return {model, token: {bootId, epoch: token.epoch}};
  });
  const [former, next] = boots;
  expect(former.token.epoch).to.equal(next.token.epoch);
  return {former, next};
}

describe(WorkerModel.name, () => {
  it('refuses the calls of a former boot under an equal epoch', () => {
    const {former, next} = createBoots();
    const {model} = next;
    const {token} = former;
    model.runCommands(next.token, [{kind: 'start', start: START}]);
    const stop = {kind: 'stop', name: ATTEMPT} as const;
    expect(model.runCommands(token, [stop]).isErr()).to.equal(true);
    expect(model.beginRequest(token, 'class-desk').isErr()).to.equal(true);
    for (const holder of [HOLDER, REQUEST_HOLDER]) {
      const call = {...holder, ...token};
      expect(model.requestLease(call).isErr()).to.equal(true);
      expect(model.releaseLease(call).isErr()).to.equal(true);
    }
    expect(model.beginRequest(next.token, 'class-desk').isOk()).to.equal(true);
  });

  it('accepts calls of earlier versions, which name no boot', () => {
    const {model, token} = createBoots().next;
    const {epoch} = token;
    const [started] = model
      .runCommands({epoch}, [{kind: 'start', start: START}])
      ._unsafeUnwrap();
    expect(started.isAccepted).to.equal(true);
    expect(model.requestLease({...HOLDER, epoch}).isOk()).to.equal(true);
    expect(model.beginRequest({epoch}, 'class-desk').isOk()).to.equal(true);
    expect(model.releaseLease({...HOLDER, epoch}).isOk()).to.equal(true);
  });
});
