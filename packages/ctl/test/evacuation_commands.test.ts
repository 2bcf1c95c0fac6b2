import {expect} from 'chai';
import {ok, Result} from 'neverthrow';
import {UnavailableError} from '@mustardlug/base/errors';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {EvacuationStore} from '@mustardlug/document/evacuation_store';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {CountingTokenSource} from '@mustardlug/platform/token_source';
import {Vm, VmList, VmSnapshot} from '@mustardlug/platform/vm_list';
import {EXIT_STATUS, getExitStatus} from '@mustardlug/runtime/program';
import {MemoryTable} from '@mustardlug/standins/memory_table';
import {
  evacuateDomain,
  EvacuationContext,
  restoreDomain,
} from '../src/evacuation_commands.js';

class FixedVmList extends VmList {
  constructor(public domains: string[]) {
    super();
  }

  override getSnapshot(): Promise<
    Result<VmSnapshot | undefined, UnavailableError>
  > {
    const vms = this.domains.map((failureDomain): Vm => {
      const id = `worker-${failureDomain}`;
      const size = {cores: 8, memoryMb: 8_000, accelerators: 0};
      const address = {host: 'none', port: 1};
      const place = {region: 'region-a', failureDomain, rack: 'rack-a'};
      return {id, role: 'worker', state: 'live', ...place, ...address, ...size};
    });
    return Promise.resolve(ok({version: 1, vms}));
  }
}

function createContext(domains: string[]) {
  const clock = VirtualClock.create();
  const table = MemoryTable.create(clock);
  const vmList = new FixedVmList(domains);
  const evacuations = EvacuationStore.create({
    table,
    retryingCommitter: RetryingCommitter.create({table, clock}),
    tokens: CountingTokenSource.create('operator'),
  });
  const context: EvacuationContext = {evacuations, vmList};
  return {context, vmList, evacuations};
}

describe('evacuateDomain', () => {
  it('refuses an unknown domain with exit status 1 and lists the known ones', async () => {
    const {context, evacuations} = createContext(['brum', 'leeds']);
    const result = await evacuateDomain(context, 'brun', false);
    const error = result._unsafeUnwrapErr();
    expect(getExitStatus(error)).to.equal(EXIT_STATUS.failed);
    expect(error.message).to.contain('brum, leeds');
    expect((await evacuations.getDomains())._unsafeUnwrap()).to.deep.equal([]);
  });

  it('evacuates an unknown domain if forced', async () => {
    const {context, evacuations} = createContext(['brum']);
    const result = await evacuateDomain(context, 'spare', true);
    expect(result.isOk()).to.equal(true);
    const domains = await evacuations.getDomains();
    expect(domains._unsafeUnwrap()).to.deep.equal(['spare']);
  });

  it('refuses an empty name even if forced, as the row would evacuate nothing', async () => {
    const {context} = createContext(['brum']);
    const result = await evacuateDomain(context, '', true);
    const status = getExitStatus(result._unsafeUnwrapErr());
    expect(status).to.equal(EXIT_STATUS.invalidInput);
  });

  it('succeeds again, and warns when no domain is left in service', async () => {
    const {context} = createContext(['brum', 'leeds']);
    const first = await evacuateDomain(context, 'brum', false);
    expect(first._unsafeUnwrap().text).not.to.contain('warning');
    const again = await evacuateDomain(context, 'brum', false);
    expect(again._unsafeUnwrap().json).to.deep.equal({
      failureDomain: 'brum',
      isEvacuated: true,
      isChanged: false,
    });
    const last = await evacuateDomain(context, 'leeds', false);
    expect(last._unsafeUnwrap().text).to.contain('warning: no failure domain');
  });
});

describe('restoreDomain', () => {
  it('restores a domain whose VMs have left the list', async () => {
    const {context, vmList, evacuations} = createContext(['brum', 'leeds']);
    await evacuateDomain(context, 'brum', false);
    vmList.domains = ['leeds'];
    const result = await restoreDomain(context, 'brum', false);
    expect(result.isOk()).to.equal(true);
    expect((await evacuations.getDomains())._unsafeUnwrap()).to.deep.equal([]);
  });

  it('refuses a mistyped domain, which would otherwise stay evacuated unnoticed', async () => {
    const {context} = createContext(['brum', 'leeds']);
    await evacuateDomain(context, 'brum', false);
    const result = await restoreDomain(context, 'brun', false);
    const status = getExitStatus(result._unsafeUnwrapErr());
    expect(status).to.equal(EXIT_STATUS.failed);
    const known = await restoreDomain(context, 'leeds', false);
    expect(known._unsafeUnwrap().text).to.contain('is not evacuated');
  });
});
