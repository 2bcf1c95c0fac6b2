/** Reports rows of the system's own tables that cannot be read, each version once. */

import {InvalidInputError} from '@mustardlug/base/errors';
import {StoredRow} from '@mustardlug/platform/row_store';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';

/** Number of rows that are remembered as reported; beyond it, rows may be reported again. */
const MAX_REPORTED_ROWS = 1_000;

/** Records a `row-invalid` event for each unreadable row. */
export class InvalidRowReporter {
  private readonly reportedRows = new Set<string>();

  private constructor(private readonly events: EventRecorder) {}

  /**
   * Creates a reporter.
   * @param events - Recorder of this node.
   */
  static create(events: EventRecorder): InvalidRowReporter {
    return new InvalidRowReporter(events);
  }

  /**
   * Reports a row unless this version of it was reported before.
   * @param row - Row that cannot be read.
   * @param error - What is wrong with it.
   */
  report(row: StoredRow, error: InvalidInputError): void {
    const {table, part, key, version} = row;
    const id = JSON.stringify([table, part, key, version]);
    if (this.reportedRows.has(id)) return;
    if (this.reportedRows.size >= MAX_REPORTED_ROWS) this.reportedRows.clear();
    this.reportedRows.add(id);
    this.events.addEvent('row-invalid', {
      detail: `${table} ${part}/${key} version ${version}: ${error.message}`,
    });
  }
}
