import {expect} from 'chai';
import * as fc from 'fast-check';
import {OutlierTracker} from '@mustardlug/base/outlier_tracker';
import {RandomSource} from '@mustardlug/base/random_source';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {WorkerLease} from '@mustardlug/membership/worker_lease';
import {WorkerModel} from '@mustardlug/standins/worker_model';
import {UpstreamEntry, SlotTable} from '../src/slot_table.js';

const SERVICE = 'class-desk';
const WORKERS = 3;
const SLOTS = 4;
const TTL_MS = 1_000_000;

function createTable(seed: number) {
  const clock = VirtualClock.create();
  const table = SlotTable.create({
    serviceName: SERVICE,
    random: RandomSource.create(seed),
    outlierTracker: OutlierTracker.create({clock, maxQuarantinedFraction: 0.3}),
    initialLatencyMs: 10,
  });
  for (let index = 0; index < WORKERS; index++) {
    table.setWorker(createLease(`worker-${index}`, clock));
  }
  return table;
}

function createLease(workerId: string, clock: VirtualClock): WorkerLease {
  const size = {cores: 8, memoryMb: 8_000, accelerators: 0};
  const model = WorkerModel.create(workerId, 'boot-1', size, clock);
  const status = model
    .requestLease({scope: 'requests', holderId: 'holder', ttlMs: TTL_MS})
    ._unsafeUnwrap();
  const replicas = [{serviceName: SERVICE, slots: SLOTS, connections: 64}];
  const address = {workerId, host: 'none', port: 1};
  const lease = WorkerLease.create(address, clock, {...status, replicas});
  lease.extend(clock.getMonotonicMs(), TTL_MS, {...status, replicas});
  return lease;
}

describe('SlotTable', () => {
  describe('takeSlot', () => {
    it('matches a recount of all taken slots over random sequences of operations', () => {
      const operation = fc.oneof(
        {weight: 3, arbitrary: fc.constant('take')},
        {weight: 2, arbitrary: fc.constant('release')},
        {weight: 1, arbitrary: fc.constant('abandon')},
      );
      fc.assert(
        fc.property(
          fc.array(operation, {maxLength: 60}),
          fc.nat(),
          (operations, seed) => {
            const table = createTable(seed);
            const held: UpstreamEntry[] = [];
            const abandoned: UpstreamEntry[] = [];
            const countTaken = (entry: UpstreamEntry) =>
              [...held, ...abandoned].filter(other => other === entry).length;
            for (const operation of operations) {
              if (operation === 'take') {
                const entry = table.takeSlot(new Set());
                if (entry !== undefined) held.push(entry);
                const isFull =
                  held.length + abandoned.length >= WORKERS * SLOTS;
                if (entry === undefined) expect(isFull).to.equal(true);
              } else {
                const entry = held.shift();
                if (entry === undefined) continue;
                if (operation === 'release') table.releaseSlot(entry, 10);
                else {
                  table.abandonSlot(entry);
                  abandoned.push(entry);
                }
              }
              for (const entry of held) {
                expect(countTaken(entry)).to.be.at.most(SLOTS);
              }
              expect(table.getTotals().inProgress).to.equal(
                held.length + abandoned.length,
              );
            }
          },
        ),
        {seed: 9},
      );
    });
  });
});
