import {expect} from 'chai';
import * as fc from 'fast-check';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {MemoryTable} from '../src/memory_table.js';
import {
  GroupCommitter,
  WriteOutcome,
} from '@mustardlug/platform/group_committer';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {StoredValue} from '@mustardlug/platform/table_service';

interface NumberValue extends StoredValue {
  readonly owner: string;
}

/**
 * Runs two processes that claim the same rows while responses are lost, writes are
 * applied late and the table has outages. A committer that does not reread a row after
 * a write of unknown outcome would report the wrong process as the owner.
 */
async function runConcurrentClaims(
  steps: ReadonlyArray<{row: number; process: number; fault: string}>,
) {
  const clock = VirtualClock.create();
  const table = MemoryTable.create(clock);
  const committers = [0, 1].map(() =>
    GroupCommitter.create({
      table,
      retryingCommitter: RetryingCommitter.create({table, clock}),
      clock,
      commitIntervalMs: 50,
    }),
  );
  const claims: Array<{token: string; key: string; outcome?: WriteOutcome}> =
    [];
  let count = 0;
  for (const {row, process, fault} of steps) {
    if (fault === 'lose') table.faults.loseNextAnswers++;
    if (fault === 'late') table.faults.applyNextLate++;
    if (fault === 'outage') {
      table.faults.isOutage = true;
      clock.setTimer(300, () => {
        table.faults.isOutage = false;
      });
    }
    const token = `token-${count++}`;
    const key = `row-${row}`;
    const claim: (typeof claims)[number] = {token, key};
    claims.push(claim);
    const value: NumberValue = {writeToken: token, owner: `process-${process}`};
    void committers[process]
      .write([{kind: 'put', key, value, expectedRevision: 0}])
      .then(outcome => {
        claim.outcome = outcome;
      });
    await clock.advance(20);
  }
  table.faults.isOutage = false;
  await clock.advance(120_000);
  return {table, claims};
}

describe('GroupCommitter', () => {
  describe('write', () => {
    it('reports each claim as written or in conflict exactly as the table shows', async () => {
      const step = fc.record({
        row: fc.nat({max: 4}),
        process: fc.nat({max: 1}),
        fault: fc.constantFrom('none', 'none', 'lose', 'late', 'outage'),
      });
      await fc.assert(
        fc.asyncProperty(
          fc.array(step, {minLength: 1, maxLength: 25}),
          async steps => {
            const {table, claims} = await runConcurrentClaims(steps);
            for (const {token, key, outcome} of claims) {
              expect(outcome, 'every write has an outcome').to.not.equal(
                undefined,
              );
              const [row] = table.getRowsByPrefix(key);
              const isOwner = row?.value.writeToken === token;
              if (outcome?.kind === 'written') expect(isOwner).to.equal(true);
              if (outcome?.kind === 'conflict') {
                expect(isOwner).to.equal(false);
              }
            }
          },
        ),
        {seed: 7, numRuns: 150},
      );
    });

    // A write that was rejected for good failed its group and all writes behind it.
    it('fails only the write that the table rejects', async () => {
      const clock = VirtualClock.create();
      const table = MemoryTable.create(clock);
      table.faults.isRejected = operations =>
        operations.some(({key}) => key === 'row-3');
      const committer = GroupCommitter.create({
        table,
        retryingCommitter: RetryingCommitter.create({table, clock}),
        clock,
        commitIntervalMs: 100,
      });
      const outcomes: string[] = [];
      // The second write of each row is in a later group.
      for (let index = 0; index < 16; index++) {
        const key = `row-${index % 8}`;
        void committer
          .write([
            {
              kind: 'put',
              key,
              value: {writeToken: `token-${index}`},
              expectedRevision: 0,
            },
          ])
          .then(({kind}) => {
            outcomes[index] = kind;
          });
      }
      await clock.advance(1_000);
      const first = Array.from({length: 8}, () => 'written');
      const second = Array.from({length: 8}, () => 'conflict');
      first[3] = 'unavailable';
      second[3] = 'unavailable';
      expect(outcomes).to.deep.equal([...first, ...second]);
      expect(committer.isUnavailable()).to.equal(false);
    });

    it('groups 590 writes into at most 4 transactions', async () => {
      const clock = VirtualClock.create();
      const table = MemoryTable.create(clock);
      const committer = GroupCommitter.create({
        table,
        retryingCommitter: RetryingCommitter.create({table, clock}),
        clock,
        commitIntervalMs: 100,
      });
      for (let index = 0; index < 590; index++) {
        void committer.write([
          {
            kind: 'put',
            key: `row-${index}`,
            value: {writeToken: `token-${index}`},
            expectedRevision: 0,
          },
        ]);
      }
      await clock.advance(1_000);
      expect(table.counts.writtenRows).to.equal(590);
      expect(table.counts.transactions).to.be.at.most(4);
    });
  });
});
