/** The shape of an environment: regions, failure domains, workers and entry VMs. */

import {z} from 'zod';

const domainSchema = z.strictObject({
  name: z.string(),
  region: z.string(),
  workers: z.number().int().nonnegative(),
  entries: z.number().int().positive(),
});

/** Schema of a layout file. */
export const environmentLayoutSchema = z.strictObject({
  domains: z.array(domainSchema).min(1),
  storeRegion: z.string(),
  workersPerRack: z.number().int().positive(),
  coresPerWorker: z.number().int().positive(),
  memoryMbPerWorker: z.number().int().positive(),
  /** Every so many workers, one has accelerators; 0 means none. */
  acceleratorEvery: z.number().int().nonnegative().default(0),
  acceleratorsPerWorker: z.number().int().nonnegative().default(0),
  /** One-way delay between regions. */
  regionDelayMs: z.number().nonnegative(),
  /** One-way delay between failure domains of a region. */
  domainDelayMs: z.number().nonnegative(),
  /** Bandwidth between regions, each way, shared by all traffic. */
  regionBitsPerS: z.number().positive(),
  serviceTimeMs: z.number().positive(),
  interferencePerBatchCore: z.number().nonnegative().default(0),
  /** First port that the settings files use. */
  basePort: z.number().int(),
  /** Document that is published at the start, relative to the layout. */
  documentFile: z.string(),
});

/** A checked layout. */
export type EnvironmentLayout = z.infer<typeof environmentLayoutSchema>;

/** An entry VM of a layout with its ports. */
export interface EntryPlan {
  readonly nodeId: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly callerPort: number;
  readonly innerPort: number;
  readonly schedulerPort: number;
}

const PORTS_PER_ENTRY = 3;
/** Ports after the platform's own that are kept for link relays to it. */
const PLATFORM_PORTS = 20;

/**
 * Gets the entry VMs of a layout.
 * @param layout - Checked layout.
 */
export function getEntryPlans(layout: EnvironmentLayout): EntryPlan[] {
  const plans: EntryPlan[] = [];
  for (const domain of layout.domains) {
    for (let index = 1; index <= domain.entries; index++) {
      const port =
        layout.basePort + PLATFORM_PORTS + plans.length * PORTS_PER_ENTRY;
      plans.push({
        nodeId: `entry-${domain.name}-${index}`,
        region: domain.region,
        failureDomain: domain.name,
        callerPort: port,
        innerPort: port + 1,
        schedulerPort: port + 2,
      });
    }
  }
  return plans;
}

/**
 * Gets the port at which a failure domain reaches the platform.
 * @param layout - Checked layout.
 * @param failureDomain - Name of the domain.
 */
export function getPlatformPort(
  layout: EnvironmentLayout,
  failureDomain: string,
): number {
  const names = layout.domains.map(({name}) => name);
  return layout.basePort + 1 + names.indexOf(failureDomain);
}

/**
 * Gets the one-way delay between two failure domains.
 * @param layout - Checked layout.
 * @param from - Name of a domain.
 * @param to - Name of a domain.
 */
export function getDelayMs(
  layout: EnvironmentLayout,
  from: string,
  to: string,
): number {
  if (from === to) return 0;
  const fromRegion = getRegion(layout, from);
  const toRegion = getRegion(layout, to);
  return fromRegion === toRegion ? layout.domainDelayMs : layout.regionDelayMs;
}

/**
 * Gets the region of a failure domain.
 * @param layout - Checked layout.
 * @param failureDomain - Name of the domain.
 */
export function getRegion(
  layout: EnvironmentLayout,
  failureDomain: string,
): string {
  const domain = layout.domains.find(({name}) => name === failureDomain);
  return domain?.region ?? '';
}
