import {createUnavailableError} from '@mustardlug/base/errors';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {JobWorkerError} from '@mustardlug/platform/job_worker_client';
import {expect} from 'chai';
import {err, ok, Result} from 'neverthrow';
import {CallHistory} from '../src/call_history.js';

const ANSWER: Result<void, JobWorkerError> = ok(undefined);

const REFUSAL: Result<void, JobWorkerError> = err({
  kind: 'worker-refusal',
  reason: 'no-room',
  message: '',
});

const NO_ANSWER: Result<void, JobWorkerError> = err(
  createUnavailableError('', true),
);

/** Response time that is longer than usual. */
const SLOW_RESPONSE_MS = 700;

describe(CallHistory.name, () => {
  it('counts answered, refused and unanswered calls since the previous request', () => {
    const history = CallHistory.create(VirtualClock.create());
    for (const outcome of [ANSWER, NO_ANSWER, REFUSAL, NO_ANSWER])
      history.recordOutcome(history.addCall(), outcome);
    expect(history.takeCounts()).to.deep.equal({
      answered: 1,
      refused: 1,
      unanswered: 2,
    });
    expect(history.takeCounts().unanswered).to.equal(0);
  });

  it('counts a call once as overdue, and none that was sent before the last response', async () => {
    const clock = VirtualClock.create();
    const history = CallHistory.create(clock);
    const early = history.addCall();
    const answered = history.addCall();
    await clock.advance(1);
    history.recordOutcome(answered, ANSWER);
    history.recordOverdue(early);
    expect(history.getOverdueCount()).to.equal(0);
    const late = history.addCall();
    history.recordOverdue(late);
    history.recordOutcome(late, NO_ANSWER);
    expect(history.getOverdueCount()).to.equal(1);
    history.recordOutcome(history.addCall(), REFUSAL);
    expect(history.getOverdueCount()).to.equal(0);
  });

  it('expects responses as late as responses have been, whatever calls are unanswered', async () => {
    const clock = VirtualClock.create();
    const history = CallHistory.create(clock);
    const usualMs = history.getExpectedResponseMs();
    for (let round = 0; round < 40; round++) {
      const call = history.addCall();
      await clock.advance(SLOW_RESPONSE_MS);
      history.recordOutcome(call, NO_ANSWER);
    }
    expect(history.getExpectedResponseMs()).to.equal(usualMs);
    for (let round = 0; round < 40; round++) {
      const call = history.addCall();
      await clock.advance(SLOW_RESPONSE_MS);
      history.recordOutcome(call, ANSWER);
    }
    expect(history.getExpectedResponseMs()).to.be.above(SLOW_RESPONSE_MS);
  });

  it('takes a worker for stopped after fewer overdue calls if none were lost before', () => {
    const history = CallHistory.create(VirtualClock.create());
    for (let call = 0; call < 20; call++)
      history.recordOutcome(history.addCall(), ANSWER);
    expect(countUntilStopped(history)).to.equal(3);
    for (let call = 0; call < 20; call++)
      history.recordOutcome(history.addCall(), call % 2 ? ANSWER : NO_ANSWER);
    expect(history.isLossy()).to.equal(true);
    expect(countUntilStopped(history)).to.equal(5);
  });
});

/** Leaves calls unanswered until the worker counts as stopped. */
function countUntilStopped(history: CallHistory): number {
  let count = 0;
  while (!history.hasStopped()) {
    history.recordOutcome(history.addCall(), NO_ANSWER);
    count++;
  }
  return count;
}
