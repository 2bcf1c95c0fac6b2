/** The `usage` command: core-hours by team, service and job. */

import {writeFileSync} from 'node:fs';
import {err, ok, Result} from 'neverthrow';
import {AppError} from '@mustardlug/base/errors';
import {getAllRows} from '@mustardlug/platform/table_service';
import {USAGE_PREFIX} from '@mustardlug/scheduling/task_record';
import {usageRecordSchema} from '@mustardlug/scheduling/usage_recorder';
import {
  createUsageReport,
  UsageReport,
} from '@mustardlug/scheduling/usage_report';
import {CtlContext} from './ctl_context.js';
import {CommandOutput} from './document_commands.js';
import {renderTable} from './text_table.js';
import {renderUsageChart} from './usage_chart.js';

const MS_PER_HOUR = 3_600_000;
const HOUR_DIGITS = 4;

/**
 * Shows the core-hours of each owner, idle time and time lost to failures.
 * @param context - Clients.
 * @param svgPath - Path of a bar chart to write in addition.
 */
export async function showUsage(
  context: CtlContext,
  svgPath: string | undefined,
): Promise<Result<CommandOutput, AppError>> {
  const rows = await getAllRows(context.table, USAGE_PREFIX);
  if (rows.isErr()) return err(rows.error);
  const records = rows.value.flatMap(row => {
    const parsed = usageRecordSchema.safeParse(row.value);
    return parsed.success ? [parsed.data] : [];
  });
  const report = createUsageReport(records, context.settings.usageIntervalMs);
  if (svgPath !== undefined) writeFileSync(svgPath, renderUsageChart(report));
  return ok({text: renderReport(report), json: report});
}

function renderReport(report: UsageReport): string {
  const rows = report.owners.map(owner => [
    owner.team,
    owner.kind,
    owner.name,
    formatHours(owner.coreMs),
    formatHours(owner.lostCoreMs),
  ]);
  rows.push(['-', 'idle', '-', formatHours(report.idleCoreMs), '-']);
  rows.push([
    '-',
    'total',
    '-',
    formatHours(report.totalCoreMs),
    formatHours(report.lostCoreMs),
  ]);
  const header = ['TEAM', 'KIND', 'NAME', 'CORE-HOURS', 'OF WHICH LOST'];
  const gaps = report.gaps.map(
    gap =>
      `gap: ${gap.workerId} from ${new Date(gap.fromMs).toISOString()} to ${new Date(gap.toMs).toISOString()}; usage is known only as the total of this period\n`,
  );
  return renderTable(header, rows) + gaps.join('');
}

function formatHours(coreMs: number): string {
  return (coreMs / MS_PER_HOUR).toFixed(HOUR_DIGITS);
}
