import {readFileSync} from 'node:fs';
import {resolve} from 'node:path';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {RandomSource} from '@mustardlug/base/random_source';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {CountingTokenSource} from '@mustardlug/platform/token_source';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {MemoryObjectStore} from '@mustardlug/standins/memory_object_store';
import {MemoryTable} from '@mustardlug/standins/memory_table';
import {DocumentFollower} from '../src/document_follower.js';
import {DocumentStore} from '../src/document_store.js';
import {
  getDocumentDigest,
  parseEnvironmentDocument,
} from '../src/environment_document.js';

const EXAMPLES = resolve(import.meta.dirname, '../../../../examples');
const POLL_MS = 2_000;
/** Specified limit: a published document is active in all processes within this time. */
const ACTIVATION_LIMIT_MS = 10_000;
const FOLLOWER_COUNT = 3;

function createText(number: number): string {
  return JSON.stringify({
    environment: `version-${number}`,
    objective: {tailLatencyWeight: 1, evictionWeight: 1, throughputWeight: 1},
    teams: [],
    services: [],
    batchJobs: [],
  });
}

function createFixture() {
  const clock = VirtualClock.create();
  const table = MemoryTable.create(clock);
  const objects = MemoryObjectStore.create();
  const createStore = (name: string) =>
    DocumentStore.create({
      table,
      retryingCommitter: RetryingCommitter.create({table, clock}),
      objects,
      tokens: CountingTokenSource.create(name),
    });
  return {clock, table, objects, createStore};
}

describe('DocumentStore', () => {
  it('promotes only a document that was published to trial', async () => {
    const {createStore} = createFixture();
    const store = createStore('operator');
    const text = createText(1);
    const unpublished = await store.promote(getDocumentDigest(text));
    expect(unpublished._unsafeUnwrapErr().kind).to.equal('refused');
    const trial = (await store.publishTrial(text))._unsafeUnwrap();
    const changed = await store.promote(getDocumentDigest(`${text} `));
    expect(changed.isErr()).to.equal(true);
    const promoted = await store.promote(trial.digest);
    expect(promoted._unsafeUnwrap().version).to.equal(1);
  });

  it('reports the published version when a concurrent promotion fails', async () => {
    const {clock, table, createStore} = createFixture();
    const first = createStore('first');
    const second = createStore('second');
    const one = (await first.publishTrial(createText(1)))._unsafeUnwrap();
    const two = (await first.publishTrial(createText(2)))._unsafeUnwrap();
    table.faults.delayMs = 5;
    const race = Promise.all([
      first.promote(one.digest),
      second.promote(two.digest),
    ]);
    await clock.advance(1_000);
    const results = await race;
    const failures = results.filter(result => result.isErr());
    expect(failures).to.have.length(1);
    expect(failures[0]._unsafeUnwrapErr().message).to.match(
      /version 1 .*first/,
    );
  });

  for (const name of ['red-clay', 'kavango', 'demo']) {
    it(`accepts the example ${name}`, () => {
      const text = readFileSync(`${EXAMPLES}/${name}/document.json`, 'utf8');
      expect(parseEnvironmentDocument(text).isOk()).to.equal(true);
    });
  }

  it('reports the path and remedy for an undeclared team', () => {
    const document = JSON.parse(
      readFileSync(`${EXAMPLES}/demo/document.json`, 'utf8'),
    ) as {teams: unknown[]};
    document.teams = [{name: 'reports', quotaCores: 8}];
    const result = parseEnvironmentDocument(JSON.stringify(document));
    const error = result._unsafeUnwrapErr();
    expect(error.problems[0].path).to.equal('services.0.team');
    expect(error.message).to.match(/declare the team/);
  });
});

describe('DocumentFollower', () => {
  const stepArbitrary = fc.oneof(
    fc.constant('publish'),
    fc.constant('outage'),
    fc.constant('object-outage'),
    fc.constant('recover'),
    fc.constant('restart'),
    fc.constant('lose-response'),
    fc.constant('gossip'),
  );

  it('keeps the newest of the documents that peers send', () => {
    const {clock, createStore} = createFixture();
    const follower = DocumentFollower.create({
      store: createStore('follower'),
      stage: 'production',
      clock,
      random: RandomSource.create(1),
      pollMs: POLL_MS,
      listener: {
        onDocumentActivated: () => undefined,
        onReadFailed: () => undefined,
      },
    });
    expect(follower.applyDocument(2, createText(2))).to.equal(true);
    expect(follower.applyDocument(1, createText(1))).to.equal(false);
    expect(follower.applyDocument(2, createText(3))).to.equal(false);
    expect(follower.getCurrent()?.text).to.equal(createText(2));
  });

  it('never reverts to an older version and converges to the newest, despite outages and restarts', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, {maxLength: 30}),
        async steps => {
          const fixture = createFixture();
          const {clock, table, objects} = fixture;
          const publisher = fixture.createStore('publisher');
          const activeVersions: number[] = Array.from(
            {length: FOLLOWER_COUNT},
            () => 0,
          );
          const startFollower = (index: number) => {
            const follower = DocumentFollower.create({
              store: fixture.createStore(`follower-${index}`),
              stage: 'production',
              clock,
              random: RandomSource.create(index),
              pollMs: POLL_MS,
              listener: {
                onDocumentActivated: current => {
                  expect(current.version).to.be.at.least(activeVersions[index]);
                  activeVersions[index] = current.version;
                },
                onReadFailed: () => undefined,
              },
            });
            // A restarted process gets the document of its peers before it accepts requests.
            for (const other of followers) {
              const current = other?.getCurrent();
              if (current === undefined || other === followers[index]) continue;
              follower.applyDocument(current.version, current.text);
            }
            void follower.start();
            return follower;
          };
          const followers: Array<DocumentFollower | undefined> = [];
          for (let index = 0; index < FOLLOWER_COUNT; index++) {
            followers[index] = startFollower(index);
          }
          let published = 0;
          for (const [number, kind] of steps.entries()) {
            if (kind === 'publish') {
              void publisher.publishTrial(createText(number)).then(trial => {
                if (trial.isErr()) return;
                void publisher.promote(trial.value.digest).then(done => {
                  if (done.isOk()) published = done.value.version;
                });
              });
            }
            if (kind === 'outage') table.faults.isOutage = true;
            if (kind === 'object-outage') objects.isOutage = true;
            if (kind === 'lose-response') table.faults.loseNextAnswers++;
            if (kind === 'recover') {
              table.faults.isOutage = false;
              objects.isOutage = false;
            }
            if (kind === 'restart') {
              const index = number % FOLLOWER_COUNT;
              const reachable = activeVersions.filter(
                (_, other) => other !== index,
              );
              activeVersions[index] = Math.min(
                activeVersions[index],
                Math.max(...reachable),
              );
              followers[index]?.stop();
              followers[index] = startFollower(index);
            }
            if (kind === 'gossip') {
              const current = followers[number % FOLLOWER_COUNT]?.getCurrent();
              if (current !== undefined) {
                followers[(number + 1) % FOLLOWER_COUNT]?.applyDocument(
                  current.version,
                  current.text,
                );
              }
            }
            await clock.advance(700);
          }
          table.faults.isOutage = false;
          objects.isOutage = false;
          await clock.advance(ACTIVATION_LIMIT_MS);
          for (const follower of followers) {
            expect(follower?.getVersion()).to.be.at.least(published);
            follower?.stop();
          }
        },
      ),
      {seed: 8, numRuns: 200},
    );
  });
});
