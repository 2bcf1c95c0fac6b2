/** Settings and clients shared by all commands. */

import {err, ok, Result} from 'neverthrow';
import {AppError} from '@mustardlug/base/errors';
import {readTextFile} from '@mustardlug/base/json_reader';
import {SystemClock} from '@mustardlug/base/clock';
import {DocumentStore} from '@mustardlug/document/document_store';
import {EvacuationStore} from '@mustardlug/document/evacuation_store';
import {TokenSource} from '@mustardlug/platform/token_source';
import {RetryingCommitter} from '@mustardlug/platform/retrying_committer';
import {TableService} from '@mustardlug/platform/table_service';
import {VmList} from '@mustardlug/platform/vm_list';
import {PeerKeySet} from '@mustardlug/protocol/peer_key_set';
import {PlatformClients} from '@mustardlug/runtime/platform_clients';
import {readSettings} from '@mustardlug/runtime/program';
import {CtlSettings, ctlSettingsSchema} from './ctl_settings.js';
import {NodeClient} from './node_client.js';

export interface CtlContext {
  readonly settings: CtlSettings;
  readonly table: TableService;
  readonly retryingCommitter: RetryingCommitter;
  readonly documents: DocumentStore;
  readonly evacuations: EvacuationStore;
  readonly vmList: VmList;
  readonly nodeClient: NodeClient;
  readonly tokens: TokenSource;
}

const CALL_TIMEOUT_MS = 5_000;

/** Reads the settings file and creates the clients. */
export function createCtlContext(
  settingsPath: string,
): Result<CtlContext, AppError> {
  const settings = readSettings(settingsPath, ctlSettingsSchema);
  if (settings.isErr()) return err(settings.error);
  const key = PeerKeySet.read(settings.value.keyFile);
  if (key.isErr()) return err(key.error);
  const caCertificate = readCaCertificate(settings.value);
  if (caCertificate.isErr()) return err(caCertificate.error);
  const platform = PlatformClients.create({
    platformUrl: settings.value.platformUrl,
    failureDomain: '',
    timeoutMs: CALL_TIMEOUT_MS,
    caCertificate: caCertificate.value,
    clock: SystemClock.create(),
  });
  const {
    table,
    retryingCommitter,
    documents,
    evacuations,
    vmList,
    tokens,
    jsonClient,
  } = platform;
  return ok({
    settings: settings.value,
    table,
    retryingCommitter,
    documents,
    evacuations,
    vmList,
    tokens,
    nodeClient: NodeClient.create(jsonClient, key.value, settings.value.nodes),
  });
}

function readCaCertificate(
  settings: CtlSettings,
): Result<string | undefined, AppError> {
  const {authorityFile} = settings;
  return authorityFile === undefined
    ? ok(undefined)
    : readTextFile(authorityFile);
}
