/** Learns interference from worker statuses and chooses actions that protect slowed services. */

import {Clock} from '@mustardlug/base/clock';
import {Objective} from '@mustardlug/document/environment_document';
import {
  AttemptId,
  AttemptReport,
  WorkerStatus,
} from '@mustardlug/platform/worker_client';
import {
  NeighborAttempt,
  InterferenceAction,
  InterferenceController,
} from './interference_controller.js';
import {InterferenceModel, Neighbor} from './interference_model.js';
import {InterferenceTrials} from './interference_trials.js';
import {PlacementHistory} from './placement_history.js';
import {WorkerView} from './worker_view.js';

/** An action and the service that it protects. */
export interface InterferenceDecision {
  readonly action: InterferenceAction;
  /** Service on the worker with the largest slowdown. */
  readonly service: AttemptReport;
}

/** Time within which a worker reports that the slowdown of a service has changed. */
const MAX_MEASUREMENT_DELAY_MS = 3_000;

/** Monitors the slowdown of services on all leased workers. */
export class InterferenceMonitor {
  private readonly model = InterferenceModel.create();
  private readonly histories = new Map<string, PlacementHistory>();
  private controller: InterferenceController | undefined;

  /** Trials of jobs beside services that they are kept off. */
  readonly trials: InterferenceTrials;

  private constructor(private readonly clock: Clock) {
    this.trials = InterferenceTrials.create(clock);
  }

  static create(clock: Clock): InterferenceMonitor {
    return new InterferenceMonitor(clock);
  }

  /** Gets the learned interference model. */
  getModel(): InterferenceModel {
    return this.model;
  }

  /**
   * Sets the objective and returns the slowdown that it tolerates.
   * @param objective - Weights from the current environment document.
   */
  setObjective(objective: Objective): number {
    this.controller = InterferenceController.create(objective);
    return this.controller.getSlowdownLimit();
  }

  /**
   * Updates the model from a worker's status.
   * @param status - Status with all attempts of the worker.
   */
  addStatus(status: WorkerStatus): void {
    const history = this.getOrAddHistory(status.workerId);
    history.addSnapshot(status.reportedAtMs, getNeighbors(status.attempts));
    for (const report of status.attempts) {
      if (report.kind !== 'service' || report.state !== 'running') continue;
      const neighbors = history.getNeighborsAt(report.measuredAtMs);
      if (neighbors === undefined) continue;
      const {name: serviceName, slowdown} = report;
      this.model.addSample({serviceName, slowdown, neighbors});
      this.addTrialSample(report, status.reportedAtMs, history);
    }
  }

  /**
   * Forgets a worker. What was learned from it is kept.
   * @param workerId - Id of the worker.
   */
  removeWorker(workerId: string): void {
    this.histories.delete(workerId);
    this.controller?.removeWorker(workerId);
  }

  /** Gets the number of workers whose neighbors are remembered. */
  getWorkerCount(): number {
    return this.histories.size;
  }

  /**
   * Learns from a trial that leaves a service as it was: a worker reports only
   * changes, so that there is no new measurement.
   */
  private addTrialSample(
    report: AttemptReport,
    reportedAtMs: number,
    history: PlacementHistory,
  ): void {
    const unchangedAtMs = reportedAtMs - MAX_MEASUREMENT_DELAY_MS;
    if (report.measuredAtMs >= unchangedAtMs) return;
    const neighbors = history.getNeighborsAt(unchangedAtMs) ?? [];
    const {name: serviceName, slowdown} = report;
    if (!neighbors.some(({name}) => this.trials.isTried(serviceName, name))) {
      return;
    }
    this.model.addSample({serviceName, slowdown, neighbors});
  }

  /**
   * Decides whether to throttle, evict or restore a batch attempt on a worker.
   * @param view - Worker to check.
   * @param isStopping - Whether an attempt is already being stopped.
   * @returns `undefined` if no action is needed.
   */
  getDecision(
    view: WorkerView,
    isStopping: (attempt: AttemptId) => boolean,
  ): InterferenceDecision | undefined {
    const service = getSlowestService(view.attemptReports);
    if (service === undefined || this.controller === undefined) {
      return undefined;
    }
    const neighbors = this.getNeighborAttempts(view, service.name).filter(
      neighbor => !isStopping(neighbor),
    );
    const action = this.controller.getAction({
      workerId: view.workerId,
      slowdown: service.slowdown,
      measuredAtMs: service.measuredAtMs,
      nowMs: this.clock.getWallMs(),
      neighbors,
    });
    return action.kind === 'none' ? undefined : {action, service};
  }

  private getNeighborAttempts(
    view: WorkerView,
    serviceName: string,
  ): NeighborAttempt[] {
    const neighbors: NeighborAttempt[] = [];
    for (const report of view.attemptReports) {
      const {taskId, attempt, cpuShare, progress, name, cores} = report;
      if (report.kind !== 'batch' || report.state !== 'running') continue;
      const perCore = this.model.getEffect(serviceName, name);
      const effect = perCore * cores * cpuShare;
      neighbors.push({
        taskId,
        attempt,
        cpuShare,
        progress,
        slowdownContribution: effect,
      });
    }
    return neighbors;
  }

  private getOrAddHistory(workerId: string): PlacementHistory {
    let history = this.histories.get(workerId);
    if (history === undefined) {
      history = PlacementHistory.create();
      this.histories.set(workerId, history);
    }
    return history;
  }
}

function getNeighbors(reports: readonly AttemptReport[]): Neighbor[] {
  const neighbors: Neighbor[] = [];
  for (const {kind, state, name, cores, cpuShare} of reports) {
    if (kind !== 'batch' || state !== 'running') continue;
    neighbors.push({name, cores: cores * cpuShare});
  }
  return neighbors;
}

function getSlowestService(
  reports: readonly AttemptReport[],
): AttemptReport | undefined {
  let slowest: AttemptReport | undefined;
  for (const report of reports) {
    if (report.kind !== 'service' || report.state !== 'running') continue;
    if (slowest === undefined || report.slowdown > slowest.slowdown) {
      slowest = report;
    }
  }
  return slowest;
}
