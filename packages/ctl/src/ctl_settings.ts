/** Settings of the command-line tool `mustardlugctl`. */

import {z} from 'zod';

export const ctlSettingsSchema = z.strictObject({
  /** File with the shared keys, one per line. */
  keyFile: z.string(),
  platformUrl: z.string().startsWith('http'),
  /** Base URLs of the operator API of all entry and scheduler processes. */
  nodes: z.array(z.string().startsWith('http')).min(1),
  /** CA certificate of the nodes, if they use TLS. */
  authorityFile: z.string().optional(),
  /**
   * Interval at which usage records are written; `usage` reports a gap where
   * two records are much further apart.
   */
  usageIntervalMs: z.number().int().positive().default(60_000),
});

/** Validated settings. */
export type CtlSettings = z.infer<typeof ctlSettingsSchema>;
