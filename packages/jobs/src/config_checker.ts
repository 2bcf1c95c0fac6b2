/** Finds entries of a deployment configuration that never take effect, and limits that contradict each other. */

import {Finding, PathSegment} from '@mustardlug/base/configuration_format';
import {
  DeploymentConfig,
  findQueue,
  PlacementAdviceConfig,
  QueueConfig,
} from './queue_config.js';

/** State of a deployment that a configuration is checked against. */
export interface DeploymentState {
  readonly inForce: DeploymentConfig | undefined;
  /** Number of registered workers that are not draining, by service. */
  readonly workersByService: ReadonlyMap<string, number>;
}

/**
 * Checks a configuration.
 * @param config - Decoded configuration.
 * @param state - State of the deployment; `undefined` if it is not known.
 */
export function checkConfig(
  config: DeploymentConfig,
  state: DeploymentState | undefined,
): Finding[] {
  const findings = [
    ...checkVersion(config, state?.inForce),
    ...checkNames('queues', config.queues),
    ...checkNames('services', config.services),
  ];
  for (const [index, queue] of config.queues.entries()) {
    const add = (finding: Finding) =>
      findings.push({...finding, path: ['queues', index, ...finding.path]});
    checkEndpoint(config, queue, add);
    checkService(config, queue, state, add);
    checkLimits(queue, add);
    if (queue.advice !== undefined) checkAdvice(queue.advice, add);
  }
  if (config.limits.maxBodyBytes < 1) {
    const message = `a body limit of ${config.limits.maxBodyBytes} bytes refuses every job; raise it`;
    findings.push(createContradiction(['limits', 'maxBodyBytes'], message));
  }
  return findings;
}

type AddFinding = (finding: Finding) => void;

/** A version that is not newer than the one in force is ignored by `ConfigFollower`. */
function checkVersion(
  config: DeploymentConfig,
  inForce: DeploymentConfig | undefined,
): Finding[] {
  if (inForce === undefined || config.version > inForce.version) return [];
  if (JSON.stringify(config) === JSON.stringify(inForce)) return [];
  const message = `version ${config.version} is not above version ${inForce.version}, which is in force; nodes ignore it`;
  return [createUnreachable(['version'], message)];
}

function checkNames(
  section: string,
  entries: ReadonlyArray<{readonly name: string}>,
): Finding[] {
  const seen = new Set<string>();
  const findings: Finding[] = [];
  for (const [index, {name}] of entries.entries()) {
    if (seen.has(name)) {
      const message = `the name ${name} is used by an earlier entry; rename or remove one of the two`;
      findings.push(createContradiction([section, index, 'name'], message));
    }
    seen.add(name);
  }
  return findings;
}

function checkEndpoint(
  config: DeploymentConfig,
  queue: QueueConfig,
  add: AddFinding,
): void {
  const {host, pathPrefix} = queue;
  if (host === '' || host.includes(':')) {
    const message = `no request has the host "${host}"; give a host name without a port`;
    add(createUnreachable(['host'], message));
  }
  if (!pathPrefix.startsWith('/')) {
    const message = `no path starts with "${pathPrefix}"; paths start with /`;
    add(createUnreachable(['pathPrefix'], message));
    return;
  }
  // The shortest path that the queue could match; a longer prefix matches only part of its paths.
  const matching = findQueue(config, host, pathPrefix);
  if (matching === undefined || matching === queue) return;
  const message = `queue ${matching.name} matches all requests of this one; change the host or path of one of them`;
  add(createUnreachable(['pathPrefix'], message));
}

function checkService(
  config: DeploymentConfig,
  queue: QueueConfig,
  state: DeploymentState | undefined,
  add: AddFinding,
): void {
  const {serviceName} = queue;
  const service = config.services.find(({name}) => name === serviceName);
  if (service === undefined) {
    const message = `there is no service ${serviceName}; declare it or correct the name`;
    add(createUnreachable(['serviceName'], message));
    return;
  }
  if (service.isSparePool) {
    const message = `the machines of service ${serviceName} stay powered off until they are reassigned to another service; use another service`;
    add(createContradiction(['serviceName'], message));
  }
  if (state === undefined) return;
  if ((state.workersByService.get(serviceName) ?? 0) > 0) return;
  const message = `service ${serviceName} has no registered worker that stays; add workers or use another service`;
  add(createUnreachable(['serviceName'], message));
}

function checkLimits(queue: QueueConfig, add: AddFinding): void {
  const {priority, maxAttempts, stretch, targetDurationMs} = queue;
  if (priority < 0 || !Number.isInteger(priority)) {
    const message = `priority ${priority} is not an integer from 0, the highest; correct it`;
    add(createContradiction(['priority'], message));
  }
  if (maxAttempts < 1 || !Number.isInteger(maxAttempts)) {
    const message = `a task has at least one attempt, not ${maxAttempts}; correct the number`;
    add(createContradiction(['maxAttempts'], message));
  }
  if (targetDurationMs < 0) {
    const message = `the addition to the objective is negative (${targetDurationMs} ms); correct it`;
    add(createContradiction(['targetDurationMs'], message));
  }
  if (stretch < 1) {
    const message = `the objective of long jobs is shorter than their critical path, as the factor is ${stretch}; give 1 or more`;
    add(createContradiction(['stretch'], message));
    return;
  }
  if (stretch > 1 || targetDurationMs > 0) return;
  const message =
    'the objective of a job equals its critical path, so that every job is late; raise the factor or the addition';
  add(createContradiction(['stretch'], message));
}

function checkAdvice(advice: PlacementAdviceConfig, add: AddFinding): void {
  const {decisionMs, perWorkerMs, validityMs} = advice;
  for (const [field, durationMs] of Object.entries(advice)) {
    if (durationMs >= 0) continue;
    const message = `the duration is negative (${durationMs} ms); correct it`;
    add(createContradiction(['advice', field], message));
  }
  const minDurationMs = decisionMs + perWorkerMs;
  if (validityMs === 0 || validityMs > minDurationMs) return;
  const message = `advice about one worker takes ${minDurationMs} ms and is valid for ${validityMs} ms, so that it has expired when it arrives; raise the validity`;
  add(createContradiction(['advice', 'validityMs'], message));
}

function createUnreachable(
  path: readonly PathSegment[],
  message: string,
): Finding {
  return {kind: 'unreachable', path, message};
}

function createContradiction(
  path: readonly PathSegment[],
  message: string,
): Finding {
  return {kind: 'contradiction', path, message};
}
