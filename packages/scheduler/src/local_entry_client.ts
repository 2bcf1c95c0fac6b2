/**
 * Reads the document and the VM list from the entry process on the same VM when
 * the platform is unavailable.
 */

import {z} from 'zod';
import {JsonClient} from '@mustardlug/platform/json_client';
import {VmSnapshot, vmSnapshotSchema} from '@mustardlug/platform/vm_list';
import {PeerKeySet} from '@mustardlug/protocol/peer_key_set';

const HTTP_OK = 200;
const documentSchema = z.object({version: z.number(), text: z.string()});

/** Active document of the entry process. */
export type EntryDocument = z.infer<typeof documentSchema>;

/** Client of the operator API of the entry process on the same VM. */
export class LocalEntryClient {
  private constructor(
    private readonly client: JsonClient,
    private readonly key: PeerKeySet,
    private readonly baseUrl: string,
  ) {}

  /**
   * Creates a client.
   * @param client - HTTP client for JSON bodies.
   * @param key - Key that authorizes operator requests.
   * @param baseUrl - Base URL of the operator API of the entry process.
   */
  static create(
    client: JsonClient,
    key: PeerKeySet,
    baseUrl: string,
  ): LocalEntryClient {
    return new LocalEntryClient(client, key, baseUrl);
  }

  /** Gets the active document of the entry process; `undefined` if the call fails. */
  getDocument(): Promise<EntryDocument | undefined> {
    return this.get('document', documentSchema);
  }

  /** Gets the VM list that the entry process read last; `undefined` if the call fails. */
  getVms(): Promise<VmSnapshot | undefined> {
    return this.get('vms', vmSnapshotSchema);
  }

  private async get<T>(
    resource: string,
    schema: z.ZodType<T>,
  ): Promise<T | undefined> {
    const response = await this.client.call({
      method: 'GET',
      url: `${this.baseUrl}/operator/${resource}`,
      headers: {authorization: this.key.getAuthorizationHeader()},
    });
    if (response.isErr() || response.value.status !== HTTP_OK) return undefined;
    const parsed = schema.safeParse(response.value.body);
    return parsed.success ? parsed.data : undefined;
  }
}
