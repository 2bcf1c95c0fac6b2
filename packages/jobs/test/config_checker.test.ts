import {expect} from 'chai';
import {renderPath} from '@mustardlug/base/configuration_format';
import {checkConfig, DeploymentState} from '../src/config_checker.js';
import {DeploymentConfig, QueueConfig} from '../src/queue_config.js';

const QUEUE: QueueConfig = {
  name: 'bookings',
  host: 'jobs.example',
  pathPrefix: '/bookings/',
  serviceName: 'class-desk',
  priority: 0,
  maxAttempts: 3,
  stretch: 1.5,
  targetDurationMs: 400,
};

function createConfig(overrides: Partial<DeploymentConfig>): DeploymentConfig {
  return {
    version: 7,
    queues: [QUEUE],
    services: [
      {name: 'class-desk', isCapacityEnforced: false, isSparePool: false},
      {name: 'spare', isCapacityEnforced: false, isSparePool: true},
    ],
    limits: {maxBodyBytes: 262_144},
    ...overrides,
  };
}

/** Gets the findings as `KIND at PATH`. */
function check(
  overrides: Partial<DeploymentConfig>,
  state?: DeploymentState,
): string[] {
  return checkConfig(createConfig(overrides), state).map(
    ({kind, path}) => `${kind} at ${renderPath(path, field => field)}`,
  );
}

function checkQueue(overrides: Partial<QueueConfig>): string[] {
  return check({queues: [{...QUEUE, ...overrides}]});
}

describe('checkConfig', () => {
  it('finds nothing in a sound configuration', () => {
    const other = {...QUEUE, name: 'other', pathPrefix: '/bookings/urgent/'};
    const wide = {...QUEUE, name: 'wide', pathPrefix: '/'};
    const elsewhere = {...QUEUE, name: 'elsewhere', host: 'other.example'};
    expect(check({queues: [wide, QUEUE, other, elsewhere]})).to.deep.equal([]);
  });

  it('finds a queue whose requests all go to another one', () => {
    const second = {...QUEUE, name: 'second'};
    expect(check({queues: [QUEUE, second]})).to.deep.equal([
      'unreachable at queues.1.pathPrefix',
    ]);
  });

  it('finds a queue that no request can match', () => {
    expect(checkQueue({pathPrefix: 'bookings/'})).to.deep.equal([
      'unreachable at queues.0.pathPrefix',
    ]);
    for (const host of ['', 'jobs.example:443']) {
      expect(checkQueue({host})).to.deep.equal([
        'unreachable at queues.0.host',
      ]);
    }
  });

  it('finds a queue whose service does not exist or stays powered off', () => {
    expect(checkQueue({serviceName: 'class-desks'})).to.deep.equal([
      'unreachable at queues.0.serviceName',
    ]);
    expect(checkQueue({serviceName: 'spare'})).to.deep.equal([
      'contradiction at queues.0.serviceName',
    ]);
  });

  it('finds a queue whose service has no workers, if the workers are known', () => {
    const inForce = undefined;
    const empty = {inForce, workersByService: new Map<string, number>()};
    expect(check({}, empty)).to.deep.equal([
      'unreachable at queues.0.serviceName',
    ]);
    const staffed = {inForce, workersByService: new Map([['class-desk', 1]])};
    expect(check({}, staffed)).to.deep.equal([]);
  });

  it('finds a version that nodes ignore', () => {
    const workersByService = new Map([['class-desk', 1]]);
    const inForce = createConfig({});
    const state = {inForce, workersByService};
    expect(check({}, state)).to.deep.equal([]);
    expect(check({version: 8, queues: []}, state)).to.deep.equal([]);
    expect(check({version: 7, queues: []}, state)).to.deep.equal([
      'unreachable at version',
    ]);
    expect(check({version: 6}, state)).to.deep.equal([
      'unreachable at version',
    ]);
  });

  it('finds names that occur twice', () => {
    const second = {...QUEUE, pathPrefix: '/other/'};
    expect(check({queues: [QUEUE, second]})).to.deep.equal([
      'contradiction at queues.1.name',
    ]);
    const {services} = createConfig({});
    expect(check({services: [...services, services[0]]})).to.deep.equal([
      'contradiction at services.2.name',
    ]);
  });

  it('finds limits that contradict each other', () => {
    const cases: Array<[Partial<QueueConfig>, string]> = [
      [{priority: -1}, 'priority'],
      [{priority: 0.5}, 'priority'],
      [{maxAttempts: 0}, 'maxAttempts'],
      [{targetDurationMs: -1}, 'targetDurationMs'],
      [{stretch: 0.9}, 'stretch'],
      [{stretch: 1, targetDurationMs: 0}, 'stretch'],
      [
        {advice: {decisionMs: 100, perWorkerMs: 10, validityMs: 110}},
        'advice.validityMs',
      ],
      [
        {advice: {decisionMs: -1, perWorkerMs: 10, validityMs: 110}},
        'advice.decisionMs',
      ],
    ];
    for (const [overrides, path] of cases) {
      expect(checkQueue(overrides)).to.deep.equal([
        `contradiction at queues.0.${path}`,
      ]);
    }
    expect(check({limits: {maxBodyBytes: 0}})).to.deep.equal([
      'contradiction at limits.maxBodyBytes',
    ]);
  });
});
