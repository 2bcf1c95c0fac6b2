/** Settings of an entry process. */

import {z} from 'zod';
import {callerLimitsSchema} from './caller_limits.js';
import {tlsSettingsSchema} from '@mustardlug/runtime/tls_files';

const port = z.number().int().min(0).max(65_535);

/** Schema of the settings file. */
export const entrySettingsSchema = z.strictObject({
  nodeId: z.string().min(1),
  region: z.string().min(1),
  failureDomain: z.string().min(1),
  /** Address on which both ports listen. */
  host: z.string().default('127.0.0.1'),
  callerPort: port,
  /** Port for the peer protocol and the operator API. */
  innerPort: port,
  /** File with the shared keys, one per line. */
  keyFile: z.string(),
  platformUrl: z.string().startsWith('http'),
  stage: z.enum(['trial', 'production']).default('production'),
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug', 'silent'])
    .default('info'),
  /** Peers to connect to until the VM list has been read. */
  seedPeers: z
    .array(z.strictObject({nodeId: z.string(), host: z.string(), port}))
    .default([]),
  heartbeatMs: z.number().int().min(100).default(1_000),
  /** Time without a message after which the connection to a peer is considered broken. */
  silenceMs: z.number().int().min(500).default(3_000),
  /** Time that the load balancer needs to notice that a draining process is not ready. */
  balancerLagMs: z.number().int().nonnegative().default(3_000),
  /** Minimum time between two transactions that write idempotency records. */
  recordCommitIntervalMs: z.number().int().positive().default(20),
  platformTimeoutMs: z.number().int().positive().default(2_000),
  compressBetweenRegions: z.boolean().default(true),
  /** Limits of what clients can hold. */
  callerLimits: callerLimitsSchema.default(callerLimitsSchema.parse({})),
  /** TLS files for callers, peers and operators; plain TCP if absent. */
  tls: tlsSettingsSchema.optional(),
});

/** Validated settings of an entry process. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
