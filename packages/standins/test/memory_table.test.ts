import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {ABSENT_REVISION, TableRow} from '@mustardlug/platform/table_service';
import {expect} from 'chai';
import {MemoryTable} from '../src/memory_table.js';

describe(MemoryTable.name, () => {
  it('returns each row once if its pages hold rows of different transactions', async () => {
    const table = MemoryTable.create(VirtualClock.create());
    for (const key of ['f', 'e', 'd', 'c', 'b', 'a']) {
      const value = {writeToken: key};
      const expectedRevision = ABSENT_REVISION;
      await table.commit([{kind: 'put', key, value, expectedRevision}]);
    }
    const rows: TableRow[] = [];
    let afterKey: string | undefined;
    for (let hasMore = true; hasMore;) {
      const query = {prefix: '', afterKey, limit: 2};
      const page = (await table.getRows(query))._unsafeUnwrap();
      rows.push(...page.rows);
      afterKey = rows[rows.length - 1].key;
      hasMore = page.hasMore;
    }
    const keys = rows.map(({key}) => key);
    expect(keys).to.deep.equal(['a', 'b', 'c', 'd', 'e', 'f']);
  });
});
