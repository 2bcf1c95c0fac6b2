/** Fault injection requests to the simulated environment. */

import {z} from 'zod';

/** Schema of a fault injection request. Absent fields leave their faults unchanged. */
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
  /** Whether clients that poll the VM list see no changes. */
  freezeVmList: z.boolean().optional(),
  worker: z
    .strictObject({
      id: z.string(),
      failsAll: z.boolean().optional(),
      isLeaving: z.boolean().optional(),
      slowFactor: z.number().positive().optional(),
      /** Whether requests are accepted and never answered. */
      isSilent: z.boolean().optional(),
      /** Whether requests are answered with status 500. */
      failsRequests: z.boolean().optional(),
    })
    .optional(),
  link: z
    .strictObject({
      /** Failure domain at one end of the links, or `platform`. */
      to: z.string(),
      state: z.enum(['open', 'cut', 'silent', 'silent-existing']),
    })
    .optional(),
});

/** A fault injection request. */
export type FaultRequest = z.infer<typeof faultRequestSchema>;
