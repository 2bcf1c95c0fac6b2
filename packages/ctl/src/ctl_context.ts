/** What every command of the command line uses. */

import {err, ok, Result} from 'neverthrow';
import {AppError} from '@mustardlug/base/errors';
import {readTextFile} from '@mustardlug/base/settings_reader';
import {SystemClock} from '@mustardlug/base/clock';
import {DocumentStore} from '@mustardlug/document/document_store';
import {
  HttpObjectStore,
  HttpTableService,
  HttpVmList,
} from '@mustardlug/platform/http_platform';
import {JsonClient} from '@mustardlug/platform/json_client';
import {RandomTokenSource, TokenSource} from '@mustardlug/platform/row_token';
import {SettledTable} from '@mustardlug/platform/settled_table';
import {TableService} from '@mustardlug/platform/table_service';
import {VmList} from '@mustardlug/platform/vm_list';
import {PeerKey} from '@mustardlug/protocol/peer_key';
import {readSettings} from '@mustardlug/runtime/program';
import {CtlSettings, ctlSettingsSchema} from './ctl_settings.js';
import {NodeClient} from './node_client.js';

/** Clients that the commands use. */
export interface CtlContext {
  readonly settings: CtlSettings;
  readonly table: TableService;
  readonly settledTable: SettledTable;
  readonly documents: DocumentStore;
  readonly vmList: VmList;
  readonly nodes: NodeClient;
  readonly tokens: TokenSource;
}

const CALL_TIMEOUT_MS = 5_000;

/**
 * Creates the clients from a settings file.
 * @param settingsPath - Path of the settings file.
 */
export function createCtlContext(
  settingsPath: string,
): Result<CtlContext, AppError> {
  const settings = readSettings(settingsPath, ctlSettingsSchema);
  if (settings.isErr()) return err(settings.error);
  const key = PeerKey.read(settings.value.keyFile);
  if (key.isErr()) return err(key.error);
  const authority = readAuthority(settings.value);
  if (authority.isErr()) return err(authority.error);
  const client = JsonClient.create(CALL_TIMEOUT_MS, authority.value);
  const address = {baseUrl: settings.value.platformUrl, failureDomain: ''};
  const table = HttpTableService.create(client, address);
  const settledTable = SettledTable.create({
    table,
    clock: SystemClock.create(),
  });
  const tokens = RandomTokenSource.create();
  return ok({
    settings: settings.value,
    table,
    settledTable,
    tokens,
    documents: DocumentStore.create({
      table,
      settledTable,
      objects: HttpObjectStore.create(client, address),
      tokens,
    }),
    vmList: HttpVmList.create(client, address),
    nodes: NodeClient.create(client, key.value, settings.value.nodes),
  });
}

function readAuthority(
  settings: CtlSettings,
): Result<string | undefined, AppError> {
  const {authorityFile} = settings;
  return authorityFile === undefined
    ? ok(undefined)
    : readTextFile(authorityFile);
}
