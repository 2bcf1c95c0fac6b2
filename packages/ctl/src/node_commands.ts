/** Commands for the running processes: status, drain, timeline. */

import {err, ok, Result} from 'neverthrow';
import {AppError, createNotFoundError} from '@mustardlug/base/errors';
import {RecordedEvent} from '@mustardlug/telemetry/event_recorder';
import {mergeTimeline, TimelineFilter} from '@mustardlug/telemetry/timeline';
import {CtlContext} from './ctl_context.js';
import {CommandOutput} from './document_commands.js';
import {renderTable} from './text_table.js';

/** Shows the status of all processes, including those that do not respond. */
export async function getStatus(
  context: CtlContext,
): Promise<Result<CommandOutput, AppError>> {
  const results = await context.nodeClient.getStatuses();
  const published = await context.documents.getPublished('production');
  const evacuated = await context.evacuations.getDomains();
  const version = published.map(({version: number}) => String(number));
  const rows = results.map(({url, result}) =>
    result.match(
      status => [
        status.nodeId,
        status.role,
        status.failureDomain,
        status.isReady ? 'ready' : 'not ready',
        String(status.documentVersion),
        String(status.leases.length),
        status.degraded.join('; ') || '-',
      ],
      error => [url, '?', '?', 'no response', '?', '?', error.message],
    ),
  );
  const evacuatedText = evacuated.match(
    domains =>
      domains.length === 0
        ? ''
        : `evacuated failure domains: ${domains.join(', ')}\n`,
    () =>
      'evacuated failure domains: unknown, the table service does not respond\n',
  );
  const header = [
    'NODE',
    'ROLE',
    'DOMAIN',
    'STATE',
    'DOCUMENT',
    'LEASES',
    'DEGRADED',
  ];
  return ok({
    text: `published document version: ${version.unwrapOr('unknown, the table service does not respond')}\n${evacuatedText}${renderTable(header, rows)}`,
    json: results.map(({url, result}) =>
      result.match<unknown>(
        status => status,
        error => ({url, error: error.message}),
      ),
    ),
  });
}

/** Starts a graceful shutdown of all processes of a node. */
export async function drainNode(
  context: CtlContext,
  nodeId: string,
): Promise<Result<CommandOutput, AppError>> {
  const drained = await context.nodeClient.drain(nodeId);
  if (drained.isErr()) return err(drained.error);
  if (drained.value.length === 0) {
    const message = `no process of node ${nodeId} responded; "mustardlugctl status" lists the nodes`;
    return err(createNotFoundError(message));
  }
  return ok({
    text: `${nodeId} is stopping (${drained.value.length} processes)\n`,
    json: {nodeId, processes: drained.value},
  });
}

/** Gets the merged events of all processes; processes that do not respond are left out. */
export async function getTimeline(
  context: CtlContext,
  filter: TimelineFilter,
): Promise<RecordedEvent[]> {
  const results = await context.nodeClient.getEvents();
  const sources = results.map(({result}) => result.unwrapOr([]));
  return mergeTimeline(sources, filter);
}

export async function showTimeline(
  context: CtlContext,
  filter: TimelineFilter,
): Promise<Result<CommandOutput, AppError>> {
  const events = await getTimeline(context, filter);
  return ok({text: renderEvents(events), json: events});
}

/** Renders events as text, one per line. */
export function renderEvents(events: readonly RecordedEvent[]): string {
  const lines = events.map(event => {
    const time = new Date(event.at.wallMs).toISOString();
    const subject = [
      event.requestId,
      event.taskId,
      event.workerId,
      event.peerId,
    ]
      .filter(part => part !== undefined && part !== '')
      .join(' ');
    const detail = event.detail ?? '';
    return `${time} ${event.number} ${event.nodeId} ${event.name} ${subject} ${detail}`.trimEnd();
  });
  return lines.length === 0 ? 'no events\n' : `${lines.join('\n')}\n`;
}
