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
const POOL = {isCapacityEnforced: false, isSparePool: false};
const CONFIG: DeploymentConfig = {
  version: 7,
  queues: [QUEUE],
  services: [
    {...POOL, name: 'class-desk'},
    {...POOL, name: 'spare', isSparePool: true},
  ],
  limits: {maxBodyBytes: 262_144},
};

/** Faults of one queue, and what is found in it. */
const QUEUE_FAULTS: ReadonlyArray<readonly [Partial<QueueConfig>, string]> = [
  [{pathPrefix: 'bookings/'}, 'unreachable at queues.0.pathPrefix'],
  [{host: ''}, 'unreachable at queues.0.host'],
  [{host: 'jobs.example:443'}, 'unreachable at queues.0.host'],
  [{serviceName: 'class-desks'}, 'unreachable at queues.0.serviceName'],
  [{serviceName: 'spare'}, 'contradiction at queues.0.serviceName'],
  [{priority: -1}, 'contradiction at queues.0.priority'],
  [{priority: 0.5}, 'contradiction at queues.0.priority'],
  [{maxAttempts: 0}, 'contradiction at queues.0.maxAttempts'],
  [{targetDurationMs: -1}, 'contradiction at queues.0.targetDurationMs'],
  [{stretch: 0.9}, 'contradiction at queues.0.stretch'],
  [{stretch: 1, targetDurationMs: 0}, 'contradiction at queues.0.stretch'],
  [
    {advice: {decisionMs: 100, perWorkerMs: 10, validityMs: 110}},
    'contradiction at queues.0.advice.validityMs',
  ],
  [
    {advice: {decisionMs: -1, perWorkerMs: 10, validityMs: 110}},
    'contradiction at queues.0.advice.decisionMs',
  ],
];

/** Gets the findings as `KIND at PATH`. */
function check(
  overrides: Partial<DeploymentConfig>,
  state?: DeploymentState,
): string[] {
  return checkConfig({...CONFIG, ...overrides}, state).map(
    ({kind, path}) => `${kind} at ${renderPath(path, field => field)}`,
  );
}

describe('checkConfig', () => {
  it('finds nothing in a sound configuration', () => {
    const longer = {...QUEUE, name: 'longer', pathPrefix: '/bookings/urgent/'};
    const wide = {...QUEUE, name: 'wide', pathPrefix: '/'};
    const elsewhere = {...QUEUE, name: 'elsewhere', host: 'other.example'};
    const queues = [wide, QUEUE, longer, elsewhere];
    expect(check({queues})).to.deep.equal([]);
  });

  for (const [fault, expected] of QUEUE_FAULTS) {
    it(`finds a queue with ${JSON.stringify(fault)}`, () =>
      expect(check({queues: [{...QUEUE, ...fault}]})).to.deep.equal([
        expected,
      ]));
  }

  it('finds a queue whose requests all go to another one, and names that occur twice', () => {
    const second = {...QUEUE, name: 'second'};
    expect(check({queues: [QUEUE, second]})).to.deep.equal([
      'unreachable at queues.1.pathPrefix',
    ]);
    const namesake = {...QUEUE, pathPrefix: '/other/'};
    expect(check({queues: [QUEUE, namesake]})).to.deep.equal([
      'contradiction at queues.1.name',
    ]);
    const services = [...CONFIG.services, CONFIG.services[0]];
    expect(check({services})).to.deep.equal([
      'contradiction at services.2.name',
    ]);
  });

  it('finds a body limit that refuses every job', () => {
    expect(check({limits: {maxBodyBytes: 0}})).to.deep.equal([
      'contradiction at limits.maxBodyBytes',
    ]);
  });

  it('finds a version that nodes ignore, and a service without workers, if the deployment is known', () => {
    const workersByService = new Map([['class-desk', 1]]);
    const state = {inForce: CONFIG, workersByService};
    expect(check({}, state)).to.deep.equal([]);
    expect(check({version: 8, queues: []}, state)).to.deep.equal([]);
    for (const version of [6, 7]) {
      expect(check({version, queues: []}, state)).to.deep.equal([
        'unreachable at version',
      ]);
    }
    workersByService.clear();
    expect(check({}, state)).to.deep.equal([
      'unreachable at queues.0.serviceName',
    ]);
  });
});
