import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {createNotFoundError} from '@mustardlug/base/errors';
import {expect} from 'chai';
import {err, ok} from 'neverthrow';
import {Evacuations} from '../src/evacuations.js';
import {createTestEvents} from './test_events.js';

/** Bound of the deployments that have evacuations. */
const EVACUATION_MS = 5_000;

/** Age of the rows from which a start command may arrive after the bound. */
const AGE_LIMIT_MS = 3_500;

/** Evacuations whose rows have a given age, with what was reported. */
class EvacuationsFixture {
  maxAgeMs = 0;
  readonly changes: Array<readonly string[]> = [];
  readonly events = createTestEvents(VirtualClock.create());
  readonly evacuations: Evacuations;

  constructor(evacuationMs: number | undefined) {
    this.evacuations = Evacuations.create({
      events: this.events,
      evacuationMs,
      getMaxAgeMs: () => this.maxAgeMs,
      decode: key => {
        if (key === 'bad') return err(createNotFoundError('a domain'));
        return ok(key.startsWith('domain-') ? key : undefined);
      },
    });
    this.evacuations.setListener(added => this.changes.push(added));
  }

  getEventNames(): string[] {
    return this.events.getEvents().map(({name}) => name);
  }
}

function toRow(key: string) {
  const [table, part, value] = ['op', '', Buffer.from('{}')];
  return {table, part, key, value, version: 1};
}

describe('Evacuations', () => {
  it('replaces the set with a snapshot, also after lost history', () => {
    // Guards against a domain that stays evacuated, or a lost evacuation, when changes were missed.
    const {evacuations, changes} = new EvacuationsFixture(EVACUATION_MS);
    evacuations.applySnapshot([toRow('config'), toRow('domain-a')]);
    expect(evacuations.isEvacuated('domain-a')).to.equal(true);
    evacuations.applySnapshot([toRow('domain-b'), toRow('domain-c')]);
    expect(evacuations.getDomains()).to.deep.equal(['domain-b', 'domain-c']);
    expect(evacuations.isEvacuated('domain-a')).to.equal(false);
    expect(changes).to.deep.equal([['domain-a'], ['domain-b', 'domain-c']]);
  });

  it('adds and removes domains, and keeps one that was removed and requested again', () => {
    // Guards against an evacuation that is lost when both changes arrive together.
    const fixture = new EvacuationsFixture(EVACUATION_MS);
    const {evacuations, changes} = fixture;
    evacuations.applyChanges({rows: [toRow('domain-a')], removed: []});
    evacuations.applyChanges({
      rows: [toRow('domain-a')],
      removed: [toRow('domain-a')],
    });
    evacuations.applyChanges({rows: [], removed: []});
    expect(evacuations.getDomains()).to.deep.equal(['domain-a']);
    expect(changes).to.have.length(1);
    evacuations.applyChanges({rows: [], removed: [toRow('domain-a')]});
    evacuations.applyChanges({rows: [toRow('domain-a')], removed: []});
    expect(evacuations.getDomains()).to.deep.equal(['domain-a']);
    expect(changes).to.deep.equal([['domain-a'], [], ['domain-a']]);
    expect(fixture.getEventNames()).to.deep.equal([
      'evacuation-in-force',
      'evacuation-ended',
      'evacuation-in-force',
    ]);
  });

  it('reports an invalid key once and applies the other rows', () => {
    // Guards against one bad row that hides others, and against a log line for each poll.
    const fixture = new EvacuationsFixture(EVACUATION_MS);
    const {evacuations} = fixture;
    evacuations.applySnapshot([toRow('bad'), toRow('domain-a')]);
    evacuations.applySnapshot([toRow('bad'), toRow('domain-a')]);
    evacuations.applyChanges({rows: [toRow('bad')], removed: [toRow('bad')]});
    expect(evacuations.getDomains()).to.deep.equal(['domain-a']);
    const names = fixture.getEventNames();
    expect(names.filter(name => name === 'evacuation-invalid').length).to.equal(
      1,
    );
  });

  it('is current while a start command sent now arrives within the bound', () => {
    // Guards against starts that follow a row which this node has not read.
    const fixture = new EvacuationsFixture(EVACUATION_MS);
    const {evacuations} = fixture;
    fixture.maxAgeMs = Infinity;
    expect(evacuations.isCurrent()).to.equal(false);
    fixture.maxAgeMs = AGE_LIMIT_MS;
    expect(evacuations.isCurrent()).to.equal(false);
    fixture.maxAgeMs = AGE_LIMIT_MS - 1;
    expect(evacuations.isCurrent()).to.equal(true);
  });

  it('reports once that the rows are too old, and once that they are recent again', () => {
    // Guards against a coordinator that starts nothing without telling why.
    const fixture = new EvacuationsFixture(EVACUATION_MS);
    const {evacuations} = fixture;
    evacuations.reportAge();
    fixture.maxAgeMs = AGE_LIMIT_MS;
    evacuations.reportAge();
    evacuations.reportAge();
    fixture.maxAgeMs = 0;
    evacuations.applyChanges({rows: [], removed: []});
    evacuations.reportAge();
    expect(fixture.getEventNames()).to.deep.equal([
      'evacuations-unknown',
      'evacuations-known',
    ]);
  });

  it('evacuates no domain and is always current when it is off', () => {
    // Guards against deployments without the bound that stop starting tasks.
    const fixture = new EvacuationsFixture(undefined);
    const {evacuations} = fixture;
    fixture.maxAgeMs = Infinity;
    evacuations.applySnapshot([toRow('domain-a'), toRow('bad')]);
    evacuations.applyChanges({rows: [toRow('domain-b')], removed: []});
    evacuations.reportAge();
    expect(evacuations.getDomains()).to.be.empty;
    expect(evacuations.isEvacuated('domain-a')).to.equal(false);
    expect(evacuations.isCurrent()).to.equal(true);
    expect(evacuations.getAgeLimitMs()).to.equal(Infinity);
    expect(fixture.getEventNames()).to.be.empty;
  });
});
