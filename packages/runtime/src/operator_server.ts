/** HTTP API for operators. Each request must carry the peer key. */

import {Context, Hono} from 'hono';
import {PeerKeySet} from '@mustardlug/protocol/peer_key_set';
import {ListenerLimits} from './listener_limits.js';

/** Key, data sources and actions of the operator API. */
export interface OperatorServerOptions {
  readonly key: PeerKeySet;
  readonly getStatus: () => unknown;
  readonly getEvents: () => unknown;
  readonly getMetrics: () => Promise<string>;
  /** Gets the active environment document, or `undefined` if none was read yet. */
  readonly getDocument: () => unknown;
  /** Gets the last VM list that was read, or `undefined` if none was read yet. */
  readonly getVms: () => unknown;
  /** Starts a graceful shutdown. */
  readonly startDrain: () => void;
  /** Called with a description of each request with a missing or invalid key. */
  readonly onKeyRefused: (detail: string) => void;
}

/**
 * Limits of operator ports. Operators, scrapers and the scheduler of the same VM need
 * a few connections; no route uses a body. The largest answer is an environment document
 * of up to 16 MB, as JSON text.
 */
export const OPERATOR_LIMITS: Partial<ListenerLimits> = {
  maxConnections: 128,
  maxHeldBytes: 33_554_432,
  maxBodyBytes: 65_536,
  maxRequestsInProgress: 8,
};

/** Creates the routes of the operator API. */
export function createOperatorApp(options: OperatorServerOptions): Hono {
  const app = new Hono();
  app.use('*', async (context, next) => {
    if (options.key.isAccepted(context.req.header('authorization'))) {
      await next();
      return undefined;
    }
    options.onKeyRefused('operator request');
    const reason = 'the key is missing or invalid; check the key file';
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
    renderIfPresent(context, options.getDocument(), 'environment document'),
  );
  app.get('/operator/vms', context =>
    renderIfPresent(context, options.getVms(), 'VM list'),
  );
  app.post('/operator/drain', context => {
    options.startDrain();
    return context.json({isDraining: true}, 202);
  });
  return app;
}

function renderIfPresent(
  context: Context,
  value: unknown,
  subject: string,
): Response {
  if (value === undefined) {
    const reason = `this process has not read the ${subject} yet`;
    return context.json({error: {reason}}, 404);
  }
  return context.json(value as object);
}
