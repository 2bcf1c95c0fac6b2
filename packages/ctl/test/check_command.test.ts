import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {err, ok, Result} from 'neverthrow';
import {
  createUnavailableError,
  UnavailableError,
} from '@mustardlug/base/errors';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {DocumentStore} from '@mustardlug/document/document_store';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {CountingTokenSource} from '@mustardlug/platform/token_source';
import {Vm, VmList, VmSnapshot} from '@mustardlug/platform/vm_list';
import {EXIT_STATUS, getExitStatus} from '@mustardlug/runtime/program';
import {MemoryObjectStore} from '@mustardlug/standins/memory_object_store';
import {MemoryTable} from '@mustardlug/standins/memory_table';
import {checkFile, loadFormat} from '../src/check_command.js';
import {DocumentFormat} from '../src/document_format.js';

const SERVICE = {
  name: 'class-desk',
  team: 'desk',
  replicas: 2,
  resources: {cores: 2, memoryMb: 1_000},
};
const JOB = {
  name: 'reports',
  team: 'desk',
  tasks: 10,
  resources: {cores: 1, memoryMb: 500},
  expectedRunMs: 1_000,
};
const DOCUMENT = {
  environment: 'demo',
  objective: {tailLatencyWeight: 1, evictionWeight: 1, throughputWeight: 1},
  teams: [{name: 'desk', quotaCores: 16}],
  services: [SERVICE],
  batchJobs: [JOB],
};

class FixedVmList extends VmList {
  constructor(public workers: number) {
    super();
  }

  override getSnapshot(): Promise<
    Result<VmSnapshot | undefined, UnavailableError>
  > {
    const vms = Array.from({length: this.workers}, (_, index): Vm => {
      const place = {region: 'r', failureDomain: 'd', rack: 'k'};
      const size = {cores: 8, memoryMb: 8_000, accelerators: 0};
      const id = `worker-${index}`;
      return {
        id,
        role: 'worker',
        state: 'live',
        host: 'none',
        port: 1,
        ...place,
        ...size,
      };
    });
    return Promise.resolve(ok({version: 1, vms}));
  }
}

interface CheckResult {
  readonly exitStatus: number;
  readonly findings: string[];
  readonly differences: string[] | undefined;
  readonly text: string;
}

interface PrintedReport {
  readonly findings: Array<{kind: string; path: string}>;
  readonly differences?: Array<{path: string}>;
}

describe('checkFile', () => {
  let folder = '';
  let table: MemoryTable;
  let documents: DocumentStore;
  let vmList: FixedVmList;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'check-'));
    const clock = VirtualClock.create();
    table = MemoryTable.create(clock);
    vmList = new FixedVmList(4);
    documents = DocumentStore.create({
      table,
      retryingCommitter: RetryingCommitter.create({table, clock}),
      objects: MemoryObjectStore.create(),
      tokens: CountingTokenSource.create('operator'),
    });
  });

  afterEach(() => rmSync(folder, {recursive: true}));

  async function checkText(
    text: string | Buffer,
    isOffline = true,
  ): Promise<CheckResult> {
    const path = join(folder, 'document.json');
    writeFileSync(path, text);
    const format = DocumentFormat.create(() => ok({documents, vmList}));
    const result = await checkFile(format, path, isOffline);
    if (result.isErr()) {
      const exitStatus = getExitStatus(result.error);
      const {message} = result.error;
      return {exitStatus, findings: [], differences: undefined, text: message};
    }
    const {json, text: printed, exitStatus = -1} = result.value;
    const report = json as PrintedReport;
    const findings = report.findings.map(({kind, path: at}) => `${kind} ${at}`);
    const differences = report.differences?.map(({path: at}) => at);
    return {exitStatus, findings, differences, text: printed};
  }

  async function check(overrides: object): Promise<string[]> {
    const text = JSON.stringify({...DOCUMENT, ...overrides});
    const {exitStatus, findings} = await checkText(text);
    const isFound = findings.length > 0;
    expect(exitStatus).to.equal(isFound ? EXIT_STATUS.failed : EXIT_STATUS.ok);
    return findings;
  }

  async function publish(document: object): Promise<void> {
    const trial = await documents.publishTrial(JSON.stringify(document));
    await documents.promote(trial._unsafeUnwrap().digest);
  }

  it('finds nothing in a sound document', async () => {
    expect(await check({})).to.deep.equal([]);
  });

  it('exits with 2 if the file is not readable as JSON', async () => {
    const texts = ['{"environment": ', Buffer.from([0x22, 0xff, 0x22])];
    for (const text of texts) {
      const {exitStatus} = await checkText(text);
      expect(exitStatus).to.equal(EXIT_STATUS.invalidInput);
    }
    const format = DocumentFormat.create(() => ok({documents, vmList}));
    const absent = await checkFile(format, join(folder, 'absent'), true);
    const status = getExitStatus(absent._unsafeUnwrapErr());
    expect(status).to.equal(EXIT_STATUS.invalidInput);
  });

  it('reports errors of the schema and of references with their location', async () => {
    const service = {...SERVICE, replicas: 0, slots: 5};
    expect(await check({services: [service]})).to.have.members([
      'error services.0.replicas',
      'error services.0',
    ]);
    const services = [SERVICE, {...SERVICE, team: 'none'}];
    expect(await check({services})).to.have.members([
      'error services.1.team',
      'error services.1.name',
    ]);
  });

  it('finds a route that an earlier one shadows', async () => {
    const routes = [
      {pathPrefix: '/list', isReadOnly: true},
      {pathPrefix: '/lists/old'},
      {pathPrefix: '/other'},
    ];
    const services = [{...SERVICE, routes}];
    expect(await check({services})).to.deep.equal([
      'unreachable services.0.routes.1.pathPrefix',
    ]);
    routes.reverse();
    expect(await check({services})).to.deep.equal([]);
  });

  it('finds limits that contradict each other', async () => {
    const slow = {...SERVICE, deadlineMs: 1_000, upstreamTimeoutMs: 1_001};
    expect(await check({services: [slow]})).to.deep.equal([
      'contradiction services.0.upstreamTimeoutMs',
    ]);
    const narrow = {...SERVICE, slotsPerReplica: 9, connectionsPerReplica: 8};
    expect(await check({services: [narrow]})).to.deep.equal([
      'contradiction services.0.connectionsPerReplica',
    ]);
    const objective = {
      tailLatencyWeight: 0,
      evictionWeight: 0,
      throughputWeight: 0,
    };
    expect(await check({objective})).to.deep.equal(['contradiction objective']);
  });

  it('finds tasks that exceed the quota of their team', async () => {
    const teams = [{name: 'desk', quotaCores: 1}];
    expect(await check({teams})).to.deep.equal([
      'unreachable services.0.resources',
    ]);
  });

  it('finds tasks and replicas for which there are no workers', async () => {
    const large = {...JOB, resources: {cores: 9, memoryMb: 500}};
    const services = [{...SERVICE, replicas: 5}];
    const text = JSON.stringify({...DOCUMENT, services, batchJobs: [large]});
    expect((await checkText(text)).findings).to.deep.equal([]);
    expect((await checkText(text, false)).findings).to.deep.equal([
      'contradiction services.0.replicas',
      'unreachable batchJobs.0.resources',
    ]);
    vmList.workers = 0;
    const {findings} = await checkText(JSON.stringify(DOCUMENT), false);
    expect(findings).to.deep.equal(['unreachable services.0.replicas']);
  });

  it('lists the differences from the version in force, which are no findings', async () => {
    await publish(DOCUMENT);
    const services = [{...SERVICE, slotsPerReplica: 4}];
    const text = JSON.stringify({...DOCUMENT, services});
    const changed = await checkText(text, false);
    expect(changed.differences).to.deep.equal([
      'services.class-desk.slotsPerReplica',
    ]);
    expect(changed.text).to.contain('slotsPerReplica: 8 -> 4');
    expect(changed.exitStatus).to.equal(EXIT_STATUS.ok);
    const offline = await checkText(text);
    expect(offline.differences).to.equal(undefined);
  });

  it('changes nothing', async () => {
    await publish(DOCUMENT);
    const {transactions} = table.counts;
    await checkText(JSON.stringify({...DOCUMENT, teams: []}), false);
    await checkText(JSON.stringify(DOCUMENT), false);
    expect(table.counts.transactions).to.equal(transactions);
  });

  it('exits with 2 and still shows the findings if the version in force cannot be read', async () => {
    table.faults.isOutage = true;
    const services = [{...SERVICE, deadlineMs: 1_000}];
    const text = JSON.stringify({...DOCUMENT, services});
    const result = await checkText(text, false);
    expect(result.exitStatus).to.equal(EXIT_STATUS.invalidInput);
    expect(result.findings).to.have.length(1);
    expect(result.text).to.contain('--offline');
    const path = join(folder, 'document.json');
    const failing = DocumentFormat.create(() =>
      err(createUnavailableError('no settings', false)),
    );
    const offline = await checkFile(failing, path, true);
    expect(offline._unsafeUnwrap().exitStatus).to.equal(EXIT_STATUS.failed);
  });
});

describe('loadFormat', () => {
  it('refuses a module that is absent or provides no format', async () => {
    const modules = ['absent.js', import.meta.filename];
    for (const path of modules) {
      const loaded = await loadFormat(path, 'settings.json');
      const status = getExitStatus(loaded._unsafeUnwrapErr());
      expect(status).to.equal(EXIT_STATUS.invalidInput);
    }
  });
});
