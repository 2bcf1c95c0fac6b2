import {expect} from 'chai';
import {Result} from 'neverthrow';
import {AppError} from '@mustardlug/base/errors';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {environmentDocumentSchema} from '@mustardlug/document/environment_document';
import {EvacuationStore} from '@mustardlug/document/evacuation_store';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {CountingTokenSource} from '@mustardlug/platform/token_source';
import {EXIT_STATUS, getExitStatus} from '@mustardlug/runtime/program';
import {createReplicaRecord} from '@mustardlug/scheduling/job_expander';
import {
  getTaskDomain,
  getTaskKey,
  TaskRecord,
} from '@mustardlug/scheduling/task_record';
import {MemoryTable} from '@mustardlug/standins/memory_table';
import {MemoryVmList} from '@mustardlug/standins/memory_vm_list';
import {CommandOutput} from '../src/document_commands.js';
import {evacuateDomain, restoreDomain} from '../src/evacuation_commands.js';
import {describeTask} from '../src/job_commands.js';

const SERVICE = environmentDocumentSchema.shape.services.element.parse({
  name: 'class-desk',
  team: 'desk',
  replicas: 1,
  resources: {cores: 1, memoryMb: 100},
});

function createContext() {
  const clock = VirtualClock.create();
  const table = MemoryTable.create(clock);
  const evacuations = EvacuationStore.create({
    table,
    retryingCommitter: RetryingCommitter.create({table, clock}),
    tokens: CountingTokenSource.create('operator'),
  });
  const vmList = MemoryVmList.create(['brum', 'leeds']);
  return {evacuations, vmList};
}

function expectStatus(
  result: Result<CommandOutput, AppError>,
  status: keyof typeof EXIT_STATUS,
): string {
  const error = result._unsafeUnwrapErr();
  expect(getExitStatus(error)).to.equal(EXIT_STATUS[status]);
  return error.message;
}

describe('evacuateDomain', () => {
  it('refuses an unknown domain with exit status 1 and lists the known ones, unless forced', async () => {
    const context = createContext();
    const refused = await evacuateDomain(context, 'brun', false);
    expect(expectStatus(refused, 'failed')).to.contain('brum, leeds');
    const before = await context.evacuations.getDomains();
    expect(before._unsafeUnwrap()).to.deep.equal([]);
    await evacuateDomain(context, 'brun', true);
    const after = await context.evacuations.getDomains();
    expect(after._unsafeUnwrap()).to.deep.equal(['brun']);
  });

  it('refuses an empty name even if forced, as the row would evacuate nothing', async () => {
    const result = await evacuateDomain(createContext(), '', true);
    expectStatus(result, 'invalidInput');
  });

  it('succeeds again, and warns when no domain is left in service', async () => {
    const context = createContext();
    const evacuate = async (domain: string) =>
      (await evacuateDomain(context, domain, false))._unsafeUnwrap();
    expect((await evacuate('brum')).text).not.to.contain('warning');
    expect((await evacuate('brum')).text).to.contain('already');
    expect((await evacuate('leeds')).text).to.contain('warning: no failure');
  });
});

describe('restoreDomain', () => {
  it('restores a domain whose VMs have left the list', async () => {
    const context = createContext();
    await evacuateDomain(context, 'brum', false);
    context.vmList.setWorkers(['leeds']);
    await restoreDomain(context, 'brum', false);
    const domains = await context.evacuations.getDomains();
    expect(domains._unsafeUnwrap()).to.deep.equal([]);
  });

  it('refuses a mistyped domain, which would otherwise stay evacuated unnoticed', async () => {
    const context = createContext();
    expectStatus(await restoreDomain(context, 'brun', false), 'failed');
    const known = await restoreDomain(context, 'leeds', false);
    expect(known._unsafeUnwrap().text).to.contain('is not evacuated');
  });
});

describe('describeTask', () => {
  it('names the evacuation as the reason why a task waits', () => {
    const taskId = 'service.class-desk.north.0';
    const record: TaskRecord = {
      ...createReplicaRecord(SERVICE, taskId, 'token', 0),
      state: 'pending',
    };
    const failureDomain = getTaskDomain(getTaskKey('north', taskId), taskId);
    const describe = (evacuated: string[]) =>
      describeTask({record, failureDomain}, evacuated);
    expect(describe(['south'])).to.contain('sufficient capacity');
    expect(describe(['north'])).to.contain('until its failure domain north');
  });
});
