/** Topology of an environment: regions, failure domains, workers and entry VMs. */

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
  /** One in this many workers has accelerators; 0 means none. */
  acceleratorEvery: z.number().int().nonnegative().default(0),
  acceleratorsPerWorker: z.number().int().nonnegative().default(0),
  /** One-way delay between regions. */
  regionDelayMs: z.number().nonnegative(),
  /** One-way delay between failure domains within a region. */
  domainDelayMs: z.number().nonnegative(),
  /** Bandwidth between two regions in each direction, shared by all traffic. */
  regionBitsPerS: z.number().positive(),
  serviceTimeMs: z.number().positive(),
  interferencePerBatchCore: z.number().nonnegative().default(0),
  /** Port of the platform; the settings files use this port and those that follow. */
  basePort: z.number().int(),
  /** Path of the initial environment document, relative to the layout file. */
  documentFile: z.string(),
});

/** A validated layout. */
export type EnvironmentLayout = z.infer<typeof environmentLayoutSchema>;

/** Planned entry VM of a layout, with its assigned ports. */
export interface EntryPlan {
  readonly nodeId: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly callerPort: number;
  readonly innerPort: number;
  readonly schedulerPort: number;
}

const PORTS_PER_ENTRY = 3;
/** Ports reserved for the platform and for the link relay of each failure domain to it. */
const RESERVED_PLATFORM_PORTS = 20;

/**
 * Gets the entry VMs of a layout and assigns their ports.
 * @param layout - Validated layout.
 */
export function getEntryPlans(layout: EnvironmentLayout): EntryPlan[] {
  const plans: EntryPlan[] = [];
  for (const domain of layout.domains) {
    for (let index = 1; index <= domain.entries; index++) {
      const port =
        layout.basePort +
        RESERVED_PLATFORM_PORTS +
        plans.length * PORTS_PER_ENTRY;
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
 * Gets the port on which a failure domain reaches the platform.
 * @param layout - Validated layout.
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
 * @param layout - Validated layout.
 * @param from - Name of the source domain.
 * @param to - Name of the destination domain.
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
 * Gets the region of a failure domain, or an empty string for an unknown domain.
 * @param layout - Validated layout.
 * @param failureDomain - Name of the domain.
 */
export function getRegion(
  layout: EnvironmentLayout,
  failureDomain: string,
): string {
  const domain = layout.domains.find(({name}) => name === failureDomain);
  return domain?.region ?? '';
}
