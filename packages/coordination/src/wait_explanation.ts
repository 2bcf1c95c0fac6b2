/** Explains why the tasks of a step are waiting, with the functions that place them. */

import {hasSuspectedTask, isSuspected} from './start_crashes.js';
import {
  canLimitFillers,
  isWaitingTask,
  PlacementPass,
} from './placement_pass.js';
import {getDeadlineStatus, WaitingStep} from './task_order.js';
import {
  assessWorker,
  CandidateExclusion,
  RankingRequest,
} from './worker_ranking.js';
import {UnusableReason, WorkerSupervisor} from './worker_supervisor.js';
import {WorkerSession} from './worker_session.js';

/** State that an explanation is derived from. */
export interface WaitExplanationInputs {
  readonly supervisor: Pick<
    WorkerSupervisor,
    'getInterferenceModel' | 'getPlacementWorker'
  >;
  /** All workers. */
  readonly sessions: readonly WorkerSession[];
  /** Latest placement pass, if there was one in this term. */
  readonly pass: PlacementPass | undefined;
  readonly passAgeMs: number;
  readonly nowMs: number;
  readonly wallMs: number;
}

/** First reason that excludes a worker, or that it has room for a task of the step. */
export type WorkerVerdict = UnusableReason | CandidateExclusion | 'has-room';

/**
 * Explains why tasks of a step are waiting.
 * @param waiting - Step with waiting tasks.
 * @param inputs - Workers and latest pass.
 */
export function explainWait(
  waiting: WaitingStep,
  inputs: WaitExplanationInputs,
): string {
  const {job, step, queue} = waiting;
  const {cpuMillis, memoryMb, accelerators} = step.spec.needs;
  const verdicts = countVerdicts(waiting, inputs);
  let workerCount = 0;
  for (const count of verdicts.values()) workerCount += count;
  const reasons = [...verdicts].map(([reason, count]) => `${reason} ${count}`);
  return [
    `needs [${cpuMillis}, ${memoryMb}, ${accelerators}]${getKind(waiting)}`,
    getDeadlineStatus(waiting, inputs.wallMs),
    `${workerCount} workers of ${queue.serviceName}: ${reasons.join(' ')}`,
    ...(inputs.pass?.getObstacles(waiting) ?? []),
    Number.isFinite(inputs.passAgeMs)
      ? `last pass ${Math.round(inputs.passAgeMs)} ms ago`
      : 'no pass in this term',
    ...(job.hasRuns() ? [] : ['the job has no run']),
  ].join(', ');
}

/**
 * Counts the workers of a step's service by the first reason that excludes them.
 * @param waiting - Step with waiting tasks.
 * @param inputs - Workers.
 */
export function countVerdicts(
  waiting: WaitingStep,
  inputs: Pick<
    WaitExplanationInputs,
    'supervisor' | 'sessions' | 'nowMs' | 'wallMs'
  >,
): Map<WorkerVerdict, number> {
  const {supervisor, sessions, nowMs, wallMs} = inputs;
  const {step, queue} = waiting;
  const isTrial = step.spec.isGang
    ? hasSuspectedTask(step)
    : step.tasks.filter(isWaitingTask).every(isSuspected);
  const interferenceModel = supervisor.getInterferenceModel();
  const request: RankingRequest = {
    step,
    isTrial,
    canLimitFillers: canLimitFillers(waiting, wallMs),
    interferenceModel,
  };
  const counts = new Map<WorkerVerdict, number>();
  for (const session of sessions) {
    if (session.getRecord().serviceName !== queue.serviceName) continue;
    const worker = supervisor.getPlacementWorker(session, nowMs);
    let verdict: WorkerVerdict = 'has-room';
    if (typeof worker === 'string') {
      verdict = worker;
    } else {
      const suitability = assessWorker(request, worker);
      if (typeof suitability === 'string') verdict = suitability;
    }
    counts.set(verdict, (counts.get(verdict) ?? 0) + 1);
  }
  return counts;
}

function getKind({step}: WaitingStep): string {
  const {isFiller, isLongRunning, isGang, image} = step.spec;
  const kinds = [
    ...(isFiller ? [`filler ${image ?? ''}`] : []),
    ...(isLongRunning ? ['serving'] : []),
    ...(isGang ? ['gang'] : []),
  ];
  return kinds.map(kind => ` ${kind}`).join('');
}
