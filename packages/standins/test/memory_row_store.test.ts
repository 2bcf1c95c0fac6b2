import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {
  MAX_ROW_BYTES,
  RowTransaction,
  RowWrite,
} from '@mustardlug/platform/row_store';
import {expect} from 'chai';
import {MemoryRowStore} from '../src/memory_row_store.js';

function createWrite(key: string, sizeBytes: number, table = 't'): RowWrite {
  return {table, part: 'p', key, value: Buffer.alloc(sizeBytes)};
}

function createTransaction(writes: readonly RowWrite[]): RowTransaction {
  return {conditions: [], writes, removals: []};
}

function createWrites(count: number, sizeBytes: number): RowWrite[] {
  return Array.from({length: count}, (_, index) =>
    createWrite(`k-${index}`, sizeBytes),
  );
}

/** Returns the kind of the error with which a store answers, or `ok`. */
function tryApply(writes: readonly RowWrite[]): string {
  const store = MemoryRowStore.create(VirtualClock.create());
  const outcome = store.apply(createTransaction(writes));
  const rows = store.getTableRows('t');
  if (outcome.isOk()) return 'ok';
  expect(rows).to.deep.equal([]);
  return outcome.error.kind;
}

describe(MemoryRowStore.name, () => {
  it('rejects a row above the size limit, and no smaller one', () => {
    const atLimit = createWrite('k', MAX_ROW_BYTES);
    const aboveLimit = createWrite('k', MAX_ROW_BYTES + 1);
    expect(tryApply([atLimit])).to.equal('ok');
    expect(tryApply([atLimit, aboveLimit])).to.equal('row-rejection');
  });

  it('rejects a call of more than 100 entries, conditions included', () => {
    expect(tryApply(createWrites(100, 1))).to.equal('ok');
    expect(tryApply(createWrites(101, 1))).to.equal('row-rejection');
    const store = MemoryRowStore.create(VirtualClock.create());
    const condition = {table: 't', part: 'p', key: 'k', version: 0};
    const outcome = store.apply({
      conditions: [condition],
      writes: createWrites(100, 1),
      removals: [],
    });
    expect(outcome._unsafeUnwrapErr().kind).to.equal('row-rejection');
  });

  it('rejects a call of more than 1 MB, as values are sent in base64', () => {
    expect(tryApply(createWrites(11, 65_000))).to.equal('ok');
    expect(tryApply(createWrites(12, 65_000))).to.equal('row-rejection');
  });

  it('rejects names of more than 200 bytes', () => {
    expect(tryApply([createWrite('k'.repeat(200), 1)])).to.equal('ok');
    expect(tryApply([createWrite('k'.repeat(201), 1)])).to.equal(
      'row-rejection',
    );
    expect(tryApply([createWrite('ü'.repeat(101), 1)])).to.equal(
      'row-rejection',
    );
  });

  it('rejects rows of more than 100 tables', () => {
    const store = MemoryRowStore.create(VirtualClock.create());
    const add = (table: string) =>
      store.apply(createTransaction([createWrite('k', 1, table)]));
    for (let index = 0; index < 100; index++)
      expect(add(`t-${index}`).isOk()).to.equal(true);
    expect(add('another').isOk()).to.equal(false);
    expect(add('t-0').isOk()).to.equal(true);
  });

  it('returns pages of at most 1 MB', () => {
    const store = MemoryRowStore.create(VirtualClock.create());
    for (const write of createWrites(20, 65_000))
      store.apply(createTransaction([write]));
    const {rows, hasMore} = store.read({table: 't', part: 'p'});
    expect(rows.length).to.equal(11);
    expect(hasMore).to.equal(true);
  });
});
