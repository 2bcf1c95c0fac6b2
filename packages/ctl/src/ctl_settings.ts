/** Settings of the operators' command line. */

import {z} from 'zod';

/** Schema of the settings file. */
export const ctlSettingsSchema = z.strictObject({
  /** File with the shared keys, one a line. */
  keyFile: z.string(),
  platformUrl: z.string().startsWith('http'),
  /** Operator addresses of all entry and scheduler processes. */
  nodes: z.array(z.string().startsWith('http')).min(1),
  /** Certificate authority of the nodes, if they use TLS. */
  authorityFile: z.string().optional(),
  usageIntervalMs: z.number().int().positive().default(60_000),
});

/** Checked settings of the command line. */
export type CtlSettings = z.infer<typeof ctlSettingsSchema>;
