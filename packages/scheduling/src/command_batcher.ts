/** Batches commands to the same worker into one call. */

import {Clock} from '@mustardlug/base/clock';
import {
  CommandOutcome,
  WorkerClient,
  WorkerCommand,
} from '@mustardlug/platform/worker_client';
import {WorkerView} from './worker_view.js';

/** Time for which commands to a worker are collected before they are sent. */
const COLLECTION_WINDOW_MS = 20;

interface QueuedCommand {
  readonly command: WorkerCommand;
  readonly resolve: (outcome: CommandOutcome | undefined) => void;
}

/** Queues commands by worker. */
export class CommandBatcher {
  private readonly queued = new Map<WorkerView, QueuedCommand[]>();

  private constructor(
    private readonly client: WorkerClient,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a batcher without queued commands.
   * @param client - Client of the workers.
   * @param clock - Clock of the process.
   */
  static create(client: WorkerClient, clock: Clock): CommandBatcher {
    return new CommandBatcher(client, clock);
  }

  /**
   * Queues a command for the next call to a worker.
   * @param view - Worker that runs the command.
   * @param command - Command to run.
   * @returns Outcome, or `undefined` if the lease is no longer valid or it is unknown whether the command ran.
   */
  addCommand(
    view: WorkerView,
    command: WorkerCommand,
  ): Promise<CommandOutcome | undefined> {
    return new Promise(resolve => {
      const queue = this.queued.get(view);
      if (queue !== undefined) {
        queue.push({command, resolve});
        return;
      }
      this.queued.set(view, [{command, resolve}]);
      this.clock.setTimer(COLLECTION_WINDOW_MS, () => void this.send(view));
    });
  }

  private async send(view: WorkerView): Promise<void> {
    const commands = this.queued.get(view) ?? [];
    this.queued.delete(view);
    const {lease} = view;
    if (!lease.isValid()) {
      for (const {resolve} of commands) resolve(undefined);
      return;
    }
    const outcomes = await this.client.runCommands(
      lease.address,
      lease.getToken(),
      commands.map(({command}) => command),
    );
    for (const [index, {resolve}] of commands.entries()) {
      resolve(outcomes.isOk() ? outcomes.value[index] : undefined);
    }
  }
}
