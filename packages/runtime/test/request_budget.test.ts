import {expect} from 'chai';
import {BudgetShare, RequestBudget} from '../src/request_budget.js';

const CONNECTION_BYTES = 10;
const MAX_BYTES = 1_000;
const MAX_CLIENTS = 20;

describe(RequestBudget.name, () => {
  let budget: RequestBudget;
  let evicted: string[];

  beforeEach(() => {
    budget = RequestBudget.create({
      maxBytes: MAX_BYTES,
      maxClients: MAX_CLIENTS,
    });
    evicted = [];
  });

  const open = (name: string, nowMs: number) =>
    budget.open(CONNECTION_BYTES, nowMs, () => evicted.push(name));

  /** Opens a client that has sent a part of a body. */
  const openStalled = (name: string, bytes: number, nowMs: number) => {
    const share = open(name, nowMs)!;
    expect(budget.reserve(share, bytes, nowMs)).to.equal(true);
    budget.setPhase(share, 'receiving', nowMs);
    return share;
  };

  // Guards against sums beyond the memory of the VM, however many clients there are.
  it('never reserves more than its bytes for a crowd that stalls and comes back', () => {
    const shares: BudgetShare[] = [];
    for (let nowMs = 0; nowMs < 20_000; nowMs += 7) {
      const share = open(`client at ${nowMs}`, nowMs);
      if (share === undefined) continue;
      shares.push(share);
      budget.setPhase(share, 'receiving', nowMs);
      // Half of the clients send a bit more all the time.
      for (const other of shares.slice(-5)) budget.reserve(other, 30, nowMs);
      expect(budget.getReservedBytes()).to.be.at.most(MAX_BYTES);
      expect(budget.getClientCount()).to.be.at.most(MAX_CLIENTS);
    }
    for (const share of shares) budget.close(share);
    expect(budget.getReservedBytes()).to.equal(0);
    expect(budget.getClientCount()).to.equal(0);
    expect(evicted.length).to.be.above(0);
  });

  // Guards against a crowd of stalled bodies that keeps all others out.
  it('evicts the body that has been incomplete for longest if the bytes are short', () => {
    openStalled('first', 400, 0);
    openStalled('second', 400, 100);
    const caller = open('caller', 1_050)!;
    expect(budget.reserve(caller, 300, 1_050)).to.equal(true);
    expect(evicted).to.deep.equal(['first']);
  });

  // Guards against a crowd of connections that keeps all others out.
  it('evicts for a new client if all clients are connected', () => {
    for (let index = 0; index < MAX_CLIENTS; index++) open(`${index}`, index);
    expect(open('early', 900)).to.equal(undefined);
    expect(open('caller', 1_001)).not.to.equal(undefined);
    expect(evicted).to.deep.equal(['0']);
  });

  // Guards against closing connections of honest callers, who send a body at once.
  it('refuses a request rather than evict one that is younger than a second', () => {
    openStalled('stalled', 900, 0);
    const caller = open('caller', 1_000)!;
    expect(budget.reserve(caller, 300, 1_000)).to.equal(false);
    expect(evicted).to.deep.equal([]);
  });

  // Guards against cutting off requests whose jobs may have been stored.
  it('never evicts a client whose request is in progress', () => {
    const share = openStalled('working', 900, 0);
    budget.setPhase(share, 'working', 1);
    const caller = open('caller', 60_000)!;
    expect(budget.reserve(caller, 300, 60_000)).to.equal(false);
    budget.setPhase(share, 'sending', 60_000);
    expect(budget.reserve(caller, 300, 61_001)).to.equal(true);
    expect(evicted).to.deep.equal(['working']);
  });

  // Guards against closing idle connections of callers while stalled ones remain.
  it('evicts refused and unfinished clients before idle ones', () => {
    open('idle', 0);
    openStalled('stalled', 500, 10);
    const refused = openStalled('refused', 300, 2_000);
    budget.setPhase(refused, 'closing', 2_000);
    const caller = open('caller', 2_000)!;
    expect(budget.reserve(caller, 300, 2_000)).to.equal(true);
    expect(evicted).to.deep.equal(['refused']);
    expect(budget.reserve(caller, 500, 2_000)).to.equal(true);
    expect(evicted).to.deep.equal(['refused', 'stalled']);
  });

  // Guards against evicting a client on its own behalf, whose reservation would be lost.
  it('refuses more bytes to the oldest unfinished request itself', () => {
    const share = openStalled('stalled', 600, 0);
    openStalled('other', 300, 500);
    expect(budget.reserve(share, 300, 5_000)).to.equal(false);
    expect(evicted).to.deep.equal([]);
  });

  // Guards against evicting everyone for a request that cannot fit.
  it('refuses a request that exceeds the budget on its own', () => {
    openStalled('stalled', 900, 0);
    const caller = open('caller', 5_000)!;
    expect(budget.reserve(caller, MAX_BYTES, 5_000)).to.equal(false);
    expect(evicted).to.deep.equal([]);
  });

  // Guards against returning bytes twice, which would let the sum exceed the memory.
  it('returns the bytes of a closed client once', () => {
    const share = openStalled('stalled', 500, 0);
    budget.close(share);
    budget.close(share);
    budget.release(share, 500);
    expect(budget.getReservedBytes()).to.equal(0);
    expect(budget.reserve(share, 1, 0)).to.equal(false);
  });
});
