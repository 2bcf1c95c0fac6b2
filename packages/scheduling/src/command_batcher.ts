/** Sends the commands for one worker together, to save calls. */

import {Clock} from '@mustardlug/base/clock';
import {
  CommandOutcome,
  WorkerClient,
  WorkerCommand,
} from '@mustardlug/platform/worker_client';
import {WorkerView} from './worker_view.js';

/** Time in which commands for one worker are collected. */
const COLLECT_MS = 20;

interface WaitingCommand {
  readonly command: WorkerCommand;
  readonly settle: (outcome: CommandOutcome | undefined) => void;
}

/** Collects commands by worker. */
export class CommandBatcher {
  private readonly waiting = new Map<WorkerView, WaitingCommand[]>();

  private constructor(
    private readonly client: WorkerClient,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates an empty batcher.
   * @param client - Client of the workers.
   * @param clock - Clock of the process.
   */
  static create(client: WorkerClient, clock: Clock): CommandBatcher {
    return new CommandBatcher(client, clock);
  }

  /**
   * Adds a command to the next call.
   * @param view - Worker to command.
   * @param command - Command to run.
   * @returns `undefined` when it is unknown whether the command ran.
   */
  addCommand(
    view: WorkerView,
    command: WorkerCommand,
  ): Promise<CommandOutcome | undefined> {
    return new Promise(settle => {
      const known = this.waiting.get(view);
      if (known !== undefined) {
        known.push({command, settle});
        return;
      }
      this.waiting.set(view, [{command, settle}]);
      this.clock.setTimer(COLLECT_MS, () => void this.send(view));
    });
  }

  private async send(view: WorkerView): Promise<void> {
    const batch = this.waiting.get(view) ?? [];
    this.waiting.delete(view);
    const {lease} = view;
    if (!lease.isValid()) {
      for (const {settle} of batch) settle(undefined);
      return;
    }
    const outcomes = await this.client.runCommands(
      lease.address,
      lease.getEpoch(),
      batch.map(({command}) => command),
    );
    for (const [index, {settle}] of batch.entries()) {
      settle(outcomes.isOk() ? outcomes.value[index] : undefined);
    }
  }
}
