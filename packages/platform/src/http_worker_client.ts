/** HTTP client of the worker agents. */

import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {
  createRefusedError,
  createUnavailableError,
} from '@mustardlug/base/errors';
import {JsonClient, JsonResponse} from './json_client.js';
import {
  CommandOutcome,
  LeaseRelease,
  LeaseRequest,
  LeaseToken,
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

/** Client of the worker agents over HTTP. */
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
    const response = await this.post(address, 'release', release, emptySchema);
    return response.map(() => undefined);
  }

  override async runCommands(
    address: WorkerAddress,
    {bootId, epoch}: LeaseToken,
    commands: readonly WorkerCommand[],
  ): Promise<Result<CommandOutcome[], WorkerError>> {
    const body = {bootId, epoch, commands};
    const response = await this.post(address, 'commands', body, outcomesSchema);
    return response.map(value => value.outcomes);
  }

  private async post<T>(
    address: WorkerAddress,
    resource: 'lease' | 'release' | 'commands',
    body: unknown,
    schema: z.ZodType<T>,
  ): Promise<Result<T, WorkerError>> {
    const response = await this.client.call({
      method: 'POST',
      url: `http://${address.host}:${address.port}/agent/v1/${resource}`,
      body,
    });
    if (response.isErr()) return err(response.error);
    return parseWorkerResponse(address, schema, response.value);
  }
}

function parseWorkerResponse<T>(
  address: WorkerAddress,
  schema: z.ZodType<T>,
  response: JsonResponse,
): Result<T, WorkerError> {
  if (response.status === HTTP_CONFLICT) {
    const refusal = refusalSchema.safeParse(response.body);
    const reason = refusal.success ? refusal.data.reason : 'no reason given';
    return err(createRefusedError(`worker ${address.workerId}: ${reason}`));
  }
  const parsed = schema.safeParse(response.body);
  if (response.status === HTTP_OK && parsed.success) return ok(parsed.data);
  const message = `unexpected response from worker ${address.workerId} (status ${response.status}); check the version of its agent`;
  return err(createUnavailableError(message, true));
}
