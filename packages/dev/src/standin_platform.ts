/** The platform over HTTP: table service, object store and VM list. */

import {Hono} from 'hono';
import {Clock} from '@mustardlug/base/clock';
import {HttpListener} from '@mustardlug/runtime/http_listener';
import {TableOperation} from '@mustardlug/platform/table_service';
import {Vm, VmSnapshot} from '@mustardlug/platform/vm_list';
import {MemoryObjectStore} from '@mustardlug/standins/memory_object_store';
import {MemoryTable} from '@mustardlug/standins/memory_table';

/** A VM whose address depends on who asks. */
export interface ListedVm {
  readonly vm: Vm;
  /** Port as seen from a failure domain, where a link relay stands between. */
  readonly portFrom?: (failureDomain: string) => number;
}

const HTTP_NOT_MODIFIED = 304;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;
const MAX_ROWS = 5_000;

/** Serves the platform on one port. */
export class StandInPlatform {
  readonly table: MemoryTable;
  readonly objects = MemoryObjectStore.create();
  private listener: HttpListener | undefined;
  private vms: readonly ListedVm[] = [];
  private listVersion = 1;
  private isListFrozen = false;
  private readonly routes = new Hono();

  private constructor(clock: Clock) {
    this.table = MemoryTable.create(clock);
    this.addTableRoutes();
    this.addObjectRoutes();
    this.addListRoute();
  }

  /**
   * Creates a platform; nothing listens before `start`.
   * @param clock - Clock for delays.
   */
  static create(clock: Clock): StandInPlatform {
    return new StandInPlatform(clock);
  }

  /** Gets the routes, to add more to them. */
  getRoutes(): Hono {
    return this.routes;
  }

  /**
   * Listens and returns the port.
   * @param port - Port, or 0 for a free one.
   */
  async start(port: number): Promise<number> {
    const address = {host: '127.0.0.1', port};
    const listener = await HttpListener.listen(this.routes, address);
    if (listener.isErr()) throw new Error(listener.error.message);
    this.listener = listener.value;
    return this.listener.getPort();
  }

  /** Ends the platform at once. */
  stop(): void {
    this.listener?.destroy();
  }

  /**
   * Sets the VM list; while it is frozen the change shows later.
   * @param vms - All VMs.
   */
  setVms(vms: readonly ListedVm[]): void {
    this.vms = vms;
    if (!this.isListFrozen) this.listVersion++;
  }

  /**
   * Freezes or thaws the VM list.
   * @param isFrozen - Whether callers see no changes.
   */
  setListFrozen(isFrozen: boolean): void {
    if (this.isListFrozen && !isFrozen) this.listVersion++;
    this.isListFrozen = isFrozen;
  }

  private addTableRoutes(): void {
    this.routes.post('/v1/transactions', async context => {
      const {operations} = (await context.req.json()) as {
        operations: TableOperation[];
      };
      const receipt = await this.table.commit(operations);
      if (receipt.isOk()) return context.json(receipt.value);
      const isConflict = receipt.error.kind === 'conflict';
      const status = isConflict ? HTTP_CONFLICT : HTTP_UNAVAILABLE;
      return context.json({reason: receipt.error.message}, status);
    });
    this.routes.get('/v1/row', async context => {
      const row = await this.table.getRow(context.req.query('key') ?? '');
      if (row.isErr()) return context.json({}, HTTP_UNAVAILABLE);
      if (row.value === undefined) return context.json({}, HTTP_NOT_FOUND);
      return context.json(row.value);
    });
    this.routes.get('/v1/rows', async context => {
      const page = await this.table.getRows({
        prefix: context.req.query('prefix') ?? '',
        afterKey: context.req.query('afterKey'),
        limit: getLimit(context.req.query('limit')),
      });
      if (page.isErr()) return context.json({}, HTTP_UNAVAILABLE);
      return context.json(page.value);
    });
    this.routes.get('/v1/changes', async context => {
      const page = await this.table.getChanges({
        prefix: context.req.query('prefix') ?? '',
        sinceRevision: Number(context.req.query('sinceRevision')),
        limit: getLimit(context.req.query('limit')),
      });
      if (page.isErr()) return context.json({}, HTTP_UNAVAILABLE);
      return context.json(page.value);
    });
  }

  private addObjectRoutes(): void {
    this.routes.put('/v1/object', async context => {
      const {text} = (await context.req.json()) as {text: string};
      const name = context.req.query('name') ?? '';
      const stored = await this.objects.putObject(name, text);
      return context.json({}, stored.isOk() ? 200 : HTTP_UNAVAILABLE);
    });
    this.routes.get('/v1/object', async context => {
      const name = context.req.query('name') ?? '';
      const text = await this.objects.getObject(name);
      if (text.isOk()) return context.json({text: text.value});
      const isMissing = text.error.kind === 'not-found';
      return context.json({}, isMissing ? HTTP_NOT_FOUND : HTTP_UNAVAILABLE);
    });
  }

  private addListRoute(): void {
    this.routes.get('/v1/vms', context => {
      if (this.table.faults.isOutage) {
        return context.json({}, HTTP_UNAVAILABLE);
      }
      const since = Number(context.req.query('since'));
      if (since >= this.listVersion) {
        return context.body(null, HTTP_NOT_MODIFIED);
      }
      const from = context.req.query('from') ?? '';
      const snapshot: VmSnapshot = {
        version: this.listVersion,
        vms: this.vms.map(({vm, portFrom}) => ({
          ...vm,
          port: portFrom?.(from) ?? vm.port,
        })),
      };
      return context.json(snapshot);
    });
  }
}

function getLimit(text: string | undefined): number {
  return Math.min(MAX_ROWS, Number(text ?? MAX_ROWS));
}
