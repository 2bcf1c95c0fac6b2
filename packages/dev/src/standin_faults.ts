/** Faults of the stand-ins that can be set while they run. */

import {z} from 'zod';

/** Schema of a request to set faults; absent fields stay as they are. */
export const faultRequestSchema = z.strictObject({
  table: z
    .strictObject({
      delayMs: z.number().optional(),
      isOutage: z.boolean().optional(),
      loseNextAnswers: z.number().int().optional(),
      applyNextLate: z.number().int().optional(),
      lateMs: z.number().optional(),
    })
    .optional(),
  objectStoreOutage: z.boolean().optional(),
  /** Whether the VM list shows no changes. */
  freezeVmList: z.boolean().optional(),
  worker: z
    .strictObject({
      id: z.string(),
      failsAll: z.boolean().optional(),
      isLeaving: z.boolean().optional(),
      slowFactor: z.number().positive().optional(),
      /** Requests are accepted and never answered. */
      isSilent: z.boolean().optional(),
      /** Requests are answered with status 500. */
      failsRequests: z.boolean().optional(),
    })
    .optional(),
  link: z
    .strictObject({
      /** Region or `platform` at the far end. */
      to: z.string(),
      state: z.enum(['open', 'cut', 'silent', 'silent-existing']),
    })
    .optional(),
});

/** A request to set faults. */
export type FaultRequest = z.infer<typeof faultRequestSchema>;
