import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {err, ok} from 'neverthrow';
import {createUnavailableError} from '@mustardlug/base/errors';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {DocumentStore} from '@mustardlug/document/document_store';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {CountingTokenSource} from '@mustardlug/platform/token_source';
import {EXIT_STATUS, getExitStatus} from '@mustardlug/runtime/program';
import {MemoryObjectStore} from '@mustardlug/standins/memory_object_store';
import {MemoryTable} from '@mustardlug/standins/memory_table';
import {MemoryVmList} from '@mustardlug/standins/memory_vm_list';
import {checkFile, loadFormat} from '../src/check_command.js';
import {DocumentFormat} from '../src/document_format.js';

const RESOURCES = {cores: 2, memoryMb: 1_000};
const SERVICE = {
  name: 'class-desk',
  team: 'desk',
  replicas: 2,
  resources: RESOURCES,
};
const JOB = {
  name: 'reports',
  team: 'desk',
  tasks: 10,
  resources: RESOURCES,
  expectedRunMs: 1_000,
};
const DOCUMENT = {
  environment: 'demo',
  objective: {tailLatencyWeight: 1, evictionWeight: 1, throughputWeight: 1},
  teams: [{name: 'desk', quotaCores: 16}],
  services: [SERVICE],
  batchJobs: [JOB],
};
const ROUTES = [
  {pathPrefix: '/list', isReadOnly: true},
  {pathPrefix: '/lists/old'},
  {pathPrefix: '/other'},
];

/** Documents with faults that need no knowledge of the deployment, and what is found. */
const FAULTS: ReadonlyArray<readonly [string, object, string[]]> = [
  ['no fault', {}, []],
  [
    'values and fields outside the schema',
    withService({replicas: 0, slots: 5}),
    ['error services.0.replicas', 'error services.0'],
  ],
  [
    'an undeclared team, and a name that occurs twice',
    {services: [SERVICE, {...SERVICE, team: 'none'}]},
    ['error services.1.team', 'error services.1.name'],
  ],
  [
    'a route that an earlier one shadows',
    withService({routes: ROUTES}),
    ['unreachable services.0.routes.1.pathPrefix'],
  ],
  [
    'no shadowed route if the longer prefix comes first',
    withService({routes: [...ROUTES].reverse()}),
    [],
  ],
  [
    'an upstream time limit above the deadline',
    withService({deadlineMs: 1_000, upstreamTimeoutMs: 1_001}),
    ['contradiction services.0.upstreamTimeoutMs'],
  ],
  [
    'more slots than connections',
    withService({slotsPerReplica: 9, connectionsPerReplica: 8}),
    ['contradiction services.0.connectionsPerReplica'],
  ],
  [
    'no objective',
    {
      objective: {tailLatencyWeight: 0, evictionWeight: 0, throughputWeight: 0},
    },
    ['contradiction objective'],
  ],
  [
    'tasks beyond the quota of their team',
    {teams: [{name: 'desk', quotaCores: 1}]},
    ['unreachable services.0.resources', 'unreachable batchJobs.0.resources'],
  ],
];

function withService(overrides: object): object {
  return {services: [{...SERVICE, ...overrides}]};
}

interface PrintedReport {
  readonly findings: Array<{kind: string; path: string}>;
  readonly differences?: Array<{path: string}>;
}

describe('checkFile', () => {
  const folder = mkdtempSync(join(tmpdir(), 'check-'));
  const path = join(folder, 'document.json');
  const clock = VirtualClock.create();
  const table = MemoryTable.create(clock);
  const vmList = MemoryVmList.create(['a', 'a', 'b', 'b']);
  const documents = DocumentStore.create({
    table,
    retryingCommitter: RetryingCommitter.create({table, clock}),
    objects: MemoryObjectStore.create(),
    tokens: CountingTokenSource.create('operator'),
  });
  const format = DocumentFormat.create(() => ok({documents, vmList}));

  after(() => rmSync(folder, {recursive: true}));

  async function check(overrides: object, isOffline = false) {
    writeFileSync(path, JSON.stringify({...DOCUMENT, ...overrides}));
    const result = await checkFile(format, path, isOffline);
    const {json, text, exitStatus} = result._unsafeUnwrap();
    const report = json as PrintedReport;
    const findings = report.findings.map(({kind, path: at}) => `${kind} ${at}`);
    const differences = report.differences?.map(({path: at}) => at);
    return {exitStatus, findings, differences, text};
  }

  for (const [name, overrides, expected] of FAULTS) {
    it(`finds ${name}`, async () => {
      const {findings, exitStatus} = await check(overrides, true);
      expect(findings).to.have.members(expected);
      expect(exitStatus).to.equal(expected.length > 0 ? 1 : 0);
    });
  }

  it('exits with 2 if the file is absent, or is not readable as JSON', async () => {
    for (const text of ['{"environment": ', Buffer.from([0x22, 0xff, 0x22])]) {
      writeFileSync(path, text);
      const error = (await checkFile(format, path, true))._unsafeUnwrapErr();
      expect(getExitStatus(error)).to.equal(EXIT_STATUS.invalidInput);
    }
    const absent = await checkFile(format, join(folder, 'absent'), true);
    expect(getExitStatus(absent._unsafeUnwrapErr())).to.equal(2);
  });

  it('finds tasks and replicas for which there are no workers', async () => {
    const job = {...JOB, resources: {cores: 9, memoryMb: 500}};
    const overrides = {...withService({replicas: 5}), batchJobs: [job]};
    expect((await check(overrides, true)).findings).to.deep.equal([]);
    expect((await check(overrides)).findings).to.deep.equal([
      'contradiction services.0.replicas',
      'unreachable batchJobs.0.resources',
    ]);
    vmList.setWorkers([]);
    const {findings} = await check({});
    expect(findings).to.deep.equal(['unreachable services.0.replicas']);
    vmList.setWorkers(['a', 'b']);
  });

  it('lists the differences from the version in force, which are no findings, and changes nothing', async () => {
    const trial = await documents.publishTrial(JSON.stringify(DOCUMENT));
    await documents.promote(trial._unsafeUnwrap().digest);
    const {transactions} = table.counts;
    const overrides = withService({slotsPerReplica: 4});
    const {differences, text, exitStatus} = await check(overrides);
    expect(differences).to.deep.equal(['services.class-desk.slotsPerReplica']);
    expect(text).to.contain('slotsPerReplica: 8 -> 4');
    expect(exitStatus).to.equal(0);
    const offline = await check(overrides, true);
    expect(offline.differences).to.equal(undefined);
    expect(table.counts.transactions).to.equal(transactions);
  });

  it('exits with 2 and still shows the findings if the version in force cannot be read', async () => {
    const overrides = withService({deadlineMs: 1_000});
    table.faults.isOutage = true;
    const {exitStatus, findings, text} = await check(overrides);
    table.faults.isOutage = false;
    expect(exitStatus).to.equal(2);
    expect(findings).to.have.length(1);
    expect(text).to.contain('--offline');
    const withoutSettings = DocumentFormat.create(() =>
      err(createUnavailableError('no settings', false)),
    );
    const offline = await checkFile(withoutSettings, path, true);
    expect(offline._unsafeUnwrap().exitStatus).to.equal(1);
  });
});

describe('loadFormat', () => {
  it('refuses a module that is absent or provides no format', async () => {
    for (const path of ['absent.js', import.meta.filename]) {
      const loaded = await loadFormat(path, 'settings.json');
      expect(getExitStatus(loaded._unsafeUnwrapErr())).to.equal(2);
    }
  });
});
