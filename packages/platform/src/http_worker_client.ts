/** HTTP client of the workers' agents. */

import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {
  createRefusedError,
  createUnavailableError,
} from '@mustardlug/base/errors';
import {JsonAnswer, JsonClient} from './json_client.js';
import {
  CommandOutcome,
  LeaseRelease,
  LeaseRequest,
  WorkerAddress,
  WorkerClient,
  WorkerCommand,
  WorkerError,
  WorkerStatus,
  workerStatusSchema,
} from './worker_client.js';

const HTTP_OK = 200;
const HTTP_CONFLICT = 409;

const outcomesSchema = z.object({
  outcomes: z.array(
    z.object({isAccepted: z.boolean(), reason: z.string().optional()}),
  ),
});
const refusalSchema = z.object({reason: z.string()});
const emptySchema = z.object({});

/** Worker agents over HTTP. */
export class HttpWorkerClient extends WorkerClient {
  private constructor(private readonly client: JsonClient) {
    super();
  }

  /**
   * Creates a client.
   * @param client - JSON client to use.
   */
  static create(client: JsonClient): HttpWorkerClient {
    return new HttpWorkerClient(client);
  }

  override requestLease(
    address: WorkerAddress,
    request: LeaseRequest,
  ): Promise<Result<WorkerStatus, WorkerError>> {
    return this.post(address, 'lease', request, workerStatusSchema);
  }

  override async releaseLease(
    address: WorkerAddress,
    release: LeaseRelease,
  ): Promise<Result<void, WorkerError>> {
    const answer = await this.post(address, 'release', release, emptySchema);
    return answer.map(() => undefined);
  }

  override async runCommands(
    address: WorkerAddress,
    epoch: number,
    commands: readonly WorkerCommand[],
  ): Promise<Result<CommandOutcome[], WorkerError>> {
    const body = {epoch, commands};
    const answer = await this.post(address, 'commands', body, outcomesSchema);
    return answer.map(value => value.outcomes);
  }

  private async post<T>(
    address: WorkerAddress,
    resource: 'lease' | 'release' | 'commands',
    body: unknown,
    schema: z.ZodType<T>,
  ): Promise<Result<T, WorkerError>> {
    const answer = await this.client.call({
      method: 'POST',
      url: `http://${address.host}:${address.port}/agent/v1/${resource}`,
      body,
    });
    if (answer.isErr()) return err(answer.error);
    return parseWorkerAnswer(address, schema, answer.value);
  }
}

function parseWorkerAnswer<T>(
  address: WorkerAddress,
  schema: z.ZodType<T>,
  answer: JsonAnswer,
): Result<T, WorkerError> {
  if (answer.status === HTTP_CONFLICT) {
    const refusal = refusalSchema.safeParse(answer.body);
    const reason = refusal.success ? refusal.data.reason : 'no reason given';
    return err(createRefusedError(`worker ${address.workerId}: ${reason}`));
  }
  const parsed = schema.safeParse(answer.body);
  if (answer.status === HTTP_OK && parsed.success) return ok(parsed.data);
  const message = `worker ${address.workerId} gave an unexpected answer (status ${answer.status}); check its agent's version`;
  return err(createUnavailableError(message, true));
}
