/** Simulated platform over HTTP: table service, object store and VM list. */

import {Hono} from 'hono';
import {Clock} from '@mustardlug/base/clock';
import {HttpListener} from '@mustardlug/runtime/http_listener';
import {TableOperation} from '@mustardlug/platform/table_service';
import {Vm, VmSnapshot} from '@mustardlug/platform/vm_list';
import {MemoryObjectStore} from '@mustardlug/standins/memory_object_store';
import {MemoryTable} from '@mustardlug/standins/memory_table';

/** Entry of the VM list. Its port can depend on the failure domain of the client. */
export interface VmListing {
  readonly vm: Vm;
  /** Gets the port for clients in a failure domain, where a link relay is in between. */
  readonly getPortFrom?: (failureDomain: string) => number;
}

const HTTP_NOT_MODIFIED = 304;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;
const MAX_PAGE_SIZE = 5_000;

/** HTTP server of the simulated platform. */
export class SimulatedPlatform {
  readonly table: MemoryTable;
  readonly objects = MemoryObjectStore.create();
  private listener: HttpListener | undefined;
  private vms: readonly VmListing[] = [];
  private vmListVersion = 1;
  private isVmListFrozen = false;
  private readonly routes = new Hono();

  private constructor(clock: Clock) {
    this.table = MemoryTable.create(clock);
    this.addTableRoutes();
    this.addObjectRoutes();
    this.addVmListRoute();
  }

  /**
   * Creates a platform. It listens once `start` is called.
   * @param clock - Clock for injected delays.
   */
  static create(clock: Clock): SimulatedPlatform {
    return new SimulatedPlatform(clock);
  }

  /** Gets the Hono application, so that further routes can be added. */
  getRoutes(): Hono {
    return this.routes;
  }

  /**
   * Starts listening.
   * @param port - Port, or 0 for a free one.
   * @returns The port that is in use.
   */
  async start(port: number): Promise<number> {
    const address = {host: '127.0.0.1', port};
    const listener = await HttpListener.listen(this.routes, address);
    if (listener.isErr()) throw new Error(listener.error.message);
    this.listener = listener.value;
    return this.listener.getPort();
  }

  /** Stops listening and closes all connections immediately. */
  stop(): void {
    this.listener?.destroy();
  }

  /**
   * Sets the VM list. While the list is frozen, its version does not change.
   * @param vms - All VMs.
   */
  setVms(vms: readonly VmListing[]): void {
    this.vms = vms;
    if (!this.isVmListFrozen) this.vmListVersion++;
  }

  /**
   * Freezes or unfreezes the version of the VM list.
   * @param isFrozen - Whether clients that poll for a newer version see no changes.
   */
  setVmListFrozen(isFrozen: boolean): void {
    if (this.isVmListFrozen && !isFrozen) this.vmListVersion++;
    this.isVmListFrozen = isFrozen;
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

  private addVmListRoute(): void {
    this.routes.get('/v1/vms', context => {
      if (this.table.faults.isOutage) {
        return context.json({}, HTTP_UNAVAILABLE);
      }
      const since = Number(context.req.query('since'));
      if (since >= this.vmListVersion) {
        return context.body(null, HTTP_NOT_MODIFIED);
      }
      const from = context.req.query('from') ?? '';
      const snapshot: VmSnapshot = {
        version: this.vmListVersion,
        vms: this.vms.map(({vm, getPortFrom}) => ({
          ...vm,
          port: getPortFrom?.(from) ?? vm.port,
        })),
      };
      return context.json(snapshot);
    });
  }
}

function getLimit(text: string | undefined): number {
  return Math.min(MAX_PAGE_SIZE, Number(text ?? MAX_PAGE_SIZE));
}
