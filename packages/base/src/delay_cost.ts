/**
 * What a delay, a refusal and a late result cost the caller of one job or request, and the
 * order in which work gets room when there is too little of it.
 *
 * All costs are fractions of the value of a result in time. They are compared only within
 * a priority: work of a higher priority comes first whatever it costs.
 */

/** What is known of a job or a request at one time. */
export interface Outlook {
  /** Priority of the queue; 0 is the highest. */
  readonly priority: number;
  /** Time for which the work can wait and still end in time; negative if it ends late. */
  readonly slackMs: number;
  /** Time for which the work can wait and still be of use; negative if it has expired. */
  readonly lateSlackMs: number;
  /** Work that is left, in CPU time or another unit that is common to all that are compared. */
  readonly remainingWork: number;
  /** Work as which larger work counts that would be served too seldom otherwise. */
  readonly protectedWork?: number;
}

/** How work is expected to end if it gets room now. */
export type DeadlineStatus = 'in-time' | 'late' | 'expired';

/** Part of its value that a result keeps between its objective and its late limit. */
const LATE_VALUE = 0.5;

/**
 * Cost of an immediate refusal: less than that of a result that is of no use, as the caller can
 * try again or elsewhere, and more than that of a late one.
 */
const REFUSAL_COST = 0.75;

/**
 * Time over which the cost of a delay grows towards a deadline: the age at which callers may hold a
 * job for lost. With 3 s, many large jobs of equal size all end just after their late limit.
 */
const LOOKAHEAD_MS = 10_000;

/** Upper limit of `getReturnWeight`, so that one very large job does not delay all that follow. */
const MAX_RETURN_WEIGHT = 4;

/**
 * Gets how work is expected to end if it gets room now.
 * @param outlook - Work.
 */
export function getDeadlineStatus({
  slackMs,
  lateSlackMs,
}: Pick<Outlook, 'slackMs' | 'lateSlackMs'>): DeadlineStatus {
  if (slackMs >= 0) return 'in-time';
  return lateSlackMs >= 0 ? 'late' : 'expired';
}

/**
 * Gets what a delay costs the caller, as a fraction of the value of a result in time.
 * @param outlook - Work.
 * @param delayMs - Time until the work gets room.
 */
export function getDelayCost(
  {slackMs, lateSlackMs}: Outlook,
  delayMs: number,
): number {
  const status = getDeadlineStatus({
    slackMs: slackMs - delayMs,
    lateSlackMs: lateSlackMs - delayMs,
  });
  return COST_BY_STATUS[status];
}

const COST_BY_STATUS: Record<DeadlineStatus, number> = {
  'in-time': 0,
  late: 1 - LATE_VALUE,
  expired: 1,
};

/**
 * Checks whether an immediate refusal costs the caller less than a delay.
 * @param outlook - Work.
 * @param delayMs - Time until the work would get room.
 */
export function isRefusalCheaper(outlook: Outlook, delayMs: number): boolean {
  return getDelayCost(outlook, delayMs) > REFUSAL_COST;
}

/**
 * Gets how urgently work needs room: the cost of a further delay, which grows as the deadlines
 * come closer, for the room that the work takes. 0 if it has expired.
 * @param outlook - Work.
 */
export function getUrgency(outlook: Outlook): number {
  const {slackMs, lateSlackMs, remainingWork, protectedWork} = outlook;
  const status = getDeadlineStatus(outlook);
  if (status === 'expired') return 0;
  let cost = LATE_VALUE * Math.exp(-lateSlackMs / LOOKAHEAD_MS);
  if (status === 'in-time')
    cost += (1 - LATE_VALUE) * Math.exp(-slackMs / LOOKAHEAD_MS);
  const work = Math.min(remainingWork, protectedWork ?? Infinity);
  return cost / Math.max(1, work);
}

/**
 * Compares by the order in which work gets room: by priority, then by urgency. Expired work comes
 * last, as nobody can use its result any more.
 * @param left - Work.
 * @param right - Other work.
 */
export function compareByDelayCost(left: Outlook, right: Outlook): number {
  if (left.priority !== right.priority) return left.priority - right.priority;
  return getUrgency(right) - getUrgency(left);
}

/**
 * Checks whether work may be stopped so that other work gets its room.
 * @param stopped - Work that would be stopped.
 * @param urgent - Work that would get its room.
 * @param waitMs - Time until the urgent work gets room otherwise.
 */
export function isPreemptionCheaper(
  stopped: Pick<Outlook, 'priority'>,
  urgent: Outlook,
  waitMs: number,
): boolean {
  if (stopped.priority <= urgent.priority) return false;
  return getDelayCost(urgent, waitMs) > getDelayCost(urgent, 0);
}

/**
 * Gets how many returns of the smallest refused work the return of a refused job counts for. Work
 * is what there is too little room for, so that the caller of a large job returns later.
 * @param work - Work of the refused job.
 * @param smallestWork - Smallest work that is refused.
 */
export function getReturnWeight(work: number, smallestWork: number): number {
  const weight = work / Math.max(1, smallestWork);
  return Math.min(MAX_RETURN_WEIGHT, Math.max(1, weight));
}
