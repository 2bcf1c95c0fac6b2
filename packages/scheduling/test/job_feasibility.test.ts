import {expect} from 'chai';
import {getInfeasibleReason} from '../src/job_feasibility.js';

const WORKERS = [
  {cores: 32, memoryMb: 125_000, accelerators: 0},
  {cores: 16, memoryMb: 64_000, accelerators: 4},
];
const TEAM = {name: 'team-a', weight: 1, quotaCores: 40};

describe('job_feasibility', () => {
  describe('getInfeasibleReason', () => {
    function expectReason(
      cores: number,
      accelerators: number,
      team: typeof TEAM | undefined,
      expected: RegExp | undefined,
    ): void {
      const amount = {cores, memoryMb: 1_000, accelerators};
      const reason = getInfeasibleReason(amount, WORKERS, team);
      if (expected === undefined) expect(reason).to.equal(undefined);
      else expect(reason).to.match(expected);
    }

    it('returns no reason for a task that fits', () =>
      expectReason(32, 0, TEAM, undefined));
    it('requires all resources on a single worker', () =>
      expectReason(32, 4, TEAM, /no worker has 32 cores/));
    it('reports a quota that is too small', () =>
      expectReason(41, 0, TEAM, /quota of 40; raise the quota/));
    it('reports an undeclared team', () =>
      expectReason(1, 0, undefined, /declare the team/));
  });
});
