/** Finds entries of an environment document that never take effect, and limits that contradict each other. */

import {Finding, PathSegment} from '@mustardlug/base/configuration_format';
import {
  EnvironmentDocument,
  Resources,
  ServiceDeclaration,
} from '@mustardlug/document/environment_document';
import {Vm} from '@mustardlug/platform/vm_list';
import {
  fits,
  getInfeasibleReason,
} from '@mustardlug/scheduling/job_feasibility';

/**
 * Checks a document.
 * @param document - Decoded document.
 * @param vms - VM list of the platform; `undefined` if it is not known.
 */
export function checkDocument(
  document: EnvironmentDocument,
  vms: readonly Vm[] | undefined,
): Finding[] {
  const workers = (vms ?? []).filter(
    ({role, state}) => role === 'worker' && state === 'live',
  );
  const findings = checkObjective(document);
  for (const [index, service] of document.services.entries()) {
    const path = ['services', index];
    findings.push(
      ...checkRoutes(service, path),
      ...checkLimits(service, path),
      ...checkFeasibility(document, service, path, workers),
    );
    if (vms !== undefined) {
      findings.push(...checkReplicas(service, path, workers));
    }
  }
  for (const [index, job] of document.batchJobs.entries()) {
    const path = ['batchJobs', index];
    findings.push(...checkFeasibility(document, job, path, workers));
  }
  return findings;
}

function checkObjective({objective}: EnvironmentDocument): Finding[] {
  const isWeighted = Object.values(objective).some(weight => weight > 0);
  if (isWeighted) return [];
  const message =
    'all weights are 0, so that no worker is better than another; raise one';
  return [{kind: 'contradiction', path: ['objective'], message}];
}

/** The first route whose prefix matches a path decides (`isReadOnlyRequest`). */
function checkRoutes(
  {routes}: ServiceDeclaration,
  path: readonly PathSegment[],
): Finding[] {
  const findings: Finding[] = [];
  for (const [index, {pathPrefix}] of routes.entries()) {
    const earlier = routes
      .slice(0, index)
      .findIndex(route => pathPrefix.startsWith(route.pathPrefix));
    if (earlier < 0) continue;
    const message = `route ${earlier} (${routes[earlier].pathPrefix}) matches all paths of this one (${pathPrefix}); put the longer prefix first or remove this route`;
    findings.push({
      kind: 'unreachable',
      path: [...path, 'routes', index, 'pathPrefix'],
      message,
    });
  }
  return findings;
}

function checkLimits(
  service: ServiceDeclaration,
  path: readonly PathSegment[],
): Finding[] {
  const findings: Finding[] = [];
  const add = (field: string, message: string) =>
    findings.push({kind: 'contradiction', path: [...path, field], message});
  const {deadlineMs, upstreamTimeoutMs} = service;
  if (upstreamTimeoutMs > deadlineMs) {
    add(
      'upstreamTimeoutMs',
      `the time limit of an upstream (${upstreamTimeoutMs} ms) is above the deadline of requests (${deadlineMs} ms), so that no time is left for another attempt; lower it`,
    );
  }
  const {slotsPerReplica, connectionsPerReplica} = service;
  if (slotsPerReplica > connectionsPerReplica) {
    add(
      'connectionsPerReplica',
      `${slotsPerReplica} slots need as many connections, not ${connectionsPerReplica}; raise the connections or lower the slots`,
    );
  }
  return findings;
}

/** Applies the rule by which schedulers set tasks to `infeasible`. */
function checkFeasibility(
  document: EnvironmentDocument,
  {team, resources}: {readonly team: string; readonly resources: Resources},
  path: readonly PathSegment[],
  workers: readonly Vm[],
): Finding[] {
  const declared = document.teams.find(({name}) => name === team);
  const reason = getInfeasibleReason(resources, workers, declared);
  if (reason === undefined) return [];
  const message = `it can never run: ${reason}`;
  return [{kind: 'unreachable', path: [...path, 'resources'], message}];
}

function checkReplicas(
  {replicas, resources}: ServiceDeclaration,
  path: readonly PathSegment[],
  workers: readonly Vm[],
): Finding[] {
  const suitable = workers.filter(worker => fits(resources, worker)).length;
  if (replicas <= suitable) return [];
  // `checkFeasibility` reports a size that fits on none of the workers.
  if (suitable === 0 && workers.length > 0) return [];
  const kind = suitable === 0 ? 'unreachable' : 'contradiction';
  const message = `${replicas} replicas need as many workers of their size, and there are ${suitable}; lower the number or add workers`;
  return [{kind, path: [...path, 'replicas'], message}];
}
