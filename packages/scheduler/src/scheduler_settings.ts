/** Settings of a scheduler process. */

import {z} from 'zod';
import {tlsSettingsSchema} from '@mustardlug/runtime/tls_files';

const port = z.number().int().min(0).max(65_535);

/** Schema of the settings file. */
export const schedulerSettingsSchema = z.strictObject({
  /** Id of the VM; the entry process on the same VM uses the same id. */
  nodeId: z.string().min(1),
  region: z.string().min(1),
  failureDomain: z.string().min(1),
  host: z.string().default('127.0.0.1'),
  operatorPort: port,
  /** Base URL of the operator API of the entry process on this VM. */
  entryUrl: z.string().startsWith('http'),
  /** File with the shared keys, one per line. */
  keyFile: z.string(),
  /** TLS files for operators and the entry process; plain TCP if absent. */
  tls: tlsSettingsSchema.optional(),
  platformUrl: z.string().startsWith('http'),
  stage: z.enum(['trial', 'production']).default('production'),
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug', 'silent'])
    .default('info'),
  /** Minimum time between two transactions. */
  commitIntervalMs: z.number().int().positive().default(100),
  /** Interval at which usage records are written. */
  usageIntervalMs: z.number().int().positive().default(60_000),
  /**
   * Maximum staleness of the VM list. A worker counts as gone only after it has
   * been missing from the list for this time and the duration of a task lease.
   */
  listLagMs: z.number().int().nonnegative().default(15_000),
  platformTimeoutMs: z.number().int().positive().default(2_000),
});

/** Validated settings of a scheduler process. */
export type SchedulerSettings = z.infer<typeof schedulerSettingsSchema>;
