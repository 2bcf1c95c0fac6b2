/** HTTP towards operators, on the port of the inner protocol. Every call carries the key. */

import {Context, Hono} from 'hono';
import {PeerKey} from '@mustardlug/protocol/peer_key';

/** What the operator server shows and does. */
export interface OperatorServerOptions {
  readonly key: PeerKey;
  readonly getStatus: () => unknown;
  readonly getEvents: () => unknown;
  readonly getMetrics: () => Promise<string>;
  /** Gets the document in force, or `undefined`. */
  readonly getDocument: () => unknown;
  /** Gets the last VM list that was read, or `undefined`. */
  readonly getVms: () => unknown;
  /** Begins a planned stop. */
  readonly startDrain: () => void;
  readonly onKeyRefused: (remoteAddress: string) => void;
}

/**
 * Creates the routes for operators.
 * @param options - What to show and do.
 */
export function createOperatorApp(options: OperatorServerOptions): Hono {
  const app = new Hono();
  app.use('*', async (context, next) => {
    if (options.key.isAccepted(context.req.header('authorization'))) {
      await next();
      return undefined;
    }
    options.onKeyRefused('operator call');
    const reason = 'the key is missing or wrong; name the right key file';
    return context.json({error: {reason}}, 401);
  });
  app.get('/operator/status', context =>
    context.json(options.getStatus() as object),
  );
  app.get('/operator/events', context =>
    context.json(options.getEvents() as object),
  );
  app.get('/operator/metrics', async context =>
    context.text(await options.getMetrics()),
  );
  app.get('/operator/document', context =>
    renderIfPresent(context, options.getDocument()),
  );
  app.get('/operator/vms', context =>
    renderIfPresent(context, options.getVms()),
  );
  app.post('/operator/drain', context => {
    options.startDrain();
    return context.json({isDraining: true}, 202);
  });
  return app;
}

function renderIfPresent(context: Context, value: unknown): Response {
  if (value === undefined)
    return context.json({error: {reason: 'none yet'}}, 404);
  return context.json(value as object);
}
