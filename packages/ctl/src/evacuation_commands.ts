/** Commands that take failure domains out of service and put them back. */

import {err, ok, Result} from 'neverthrow';
import {
  AppError,
  createInvalidInputError,
  createNotFoundError,
} from '@mustardlug/base/errors';
import {
  EvacuationOutcome,
  EvacuationStore,
} from '@mustardlug/document/evacuation_store';
import {Vm, VmList} from '@mustardlug/platform/vm_list';
import {CommandOutput} from './document_commands.js';

/** Clients that the commands use. */
export interface EvacuationContext {
  readonly evacuations: EvacuationStore;
  readonly vmList: VmList;
}

/** Longest name of a failure domain; the table limits the length of keys. */
const MAX_DOMAIN_LENGTH = 200;

/**
 * Takes a failure domain out of service. Succeeds if it is evacuated already.
 * @param context - Clients.
 * @param domain - Name of the domain.
 * @param isForced - Whether to skip the check that the VM list has the domain.
 * @returns `not-found` if the VM list has no VM of the domain.
 */
export async function evacuateDomain(
  context: EvacuationContext,
  domain: string,
  isForced: boolean,
): Promise<Result<CommandOutput, AppError>> {
  const checked = await checkDomain(context, domain, isForced);
  if (checked.isErr()) return err(checked.error);
  const outcome = await context.evacuations.evacuate(domain);
  if (outcome.isErr()) return err(outcome.error);
  const text =
    outcome.value === 'changed'
      ? `failure domain ${domain} is evacuated; processes that reach the table service follow within 5 s\n`
      : `failure domain ${domain} is evacuated already\n`;
  const warning = await getCapacityWarning(context, checked.value);
  return ok(createOutput(domain, true, outcome.value, text + warning));
}

/**
 * Puts a failure domain back into service. Succeeds if it is in service already.
 * @param context - Clients.
 * @param domain - Name of the domain.
 * @param isForced - Whether to skip the check that the VM list has the domain.
 * @returns `not-found` if the domain is not evacuated and the VM list has no VM of it.
 */
export async function restoreDomain(
  context: EvacuationContext,
  domain: string,
  isForced: boolean,
): Promise<Result<CommandOutput, AppError>> {
  const evacuated = await context.evacuations.getDomains();
  if (evacuated.isErr()) return err(evacuated.error);
  // The VMs of an evacuated domain may have been removed from the list since.
  const isKnown = isForced || evacuated.value.includes(domain);
  const checked = await checkDomain(context, domain, isKnown);
  if (checked.isErr()) return err(checked.error);
  const outcome = await context.evacuations.restore(domain);
  if (outcome.isErr()) return err(outcome.error);
  const text =
    outcome.value === 'changed'
      ? `failure domain ${domain} is back in service\n`
      : `failure domain ${domain} is not evacuated\n`;
  return ok(createOutput(domain, false, outcome.value, text));
}

/** Gets the VM list, or an empty one if the check is skipped. */
async function checkDomain(
  {vmList}: EvacuationContext,
  domain: string,
  isSkipped: boolean,
): Promise<Result<readonly Vm[], AppError>> {
  if (domain === '' || domain.length > MAX_DOMAIN_LENGTH) {
    const expected = `expected a name of 1 to ${MAX_DOMAIN_LENGTH} characters, found ${domain.length}`;
    const remedy = 'pass the name of a failure domain';
    return err(
      createInvalidInputError('argument', [{path: 'domain', expected, remedy}]),
    );
  }
  if (isSkipped) return ok([]);
  const snapshot = await vmList.getSnapshot();
  if (snapshot.isErr()) return err(snapshot.error);
  const vms = snapshot.value?.vms ?? [];
  const known = [...new Set(vms.map(vm => vm.failureDomain))].sort();
  if (known.includes(domain)) return ok(vms);
  const message = `there is no failure domain ${domain}; known failure domains: ${known.join(', ') || 'none'}; --force skips this check`;
  return err(createNotFoundError(message));
}

/** Gets a warning if no failure domain with workers is in service. */
async function getCapacityWarning(
  {evacuations}: EvacuationContext,
  vms: readonly Vm[],
): Promise<string> {
  const evacuated = await evacuations.getDomains();
  if (evacuated.isErr()) return '';
  const workers = vms.filter(vm => vm.role === 'worker');
  const isServed = workers.some(
    vm => !evacuated.value.includes(vm.failureDomain),
  );
  if (isServed || workers.length === 0) return '';
  return 'warning: no failure domain with workers is in service; requests are refused and no task starts\n';
}

function createOutput(
  failureDomain: string,
  isEvacuated: boolean,
  outcome: EvacuationOutcome,
  text: string,
): CommandOutput {
  const isChanged = outcome === 'changed';
  return {text, json: {failureDomain, isEvacuated, isChanged}};
}
