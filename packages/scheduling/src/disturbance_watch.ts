/** Learns from the workers' reports and chooses actions for disturbed services. */

import {Clock} from '@mustardlug/base/clock';
import {Objective} from '@mustardlug/document/environment_document';
import {AttemptReport, WorkerStatus} from '@mustardlug/platform/worker_client';
import {
  BatchNeighbor,
  DisturbanceAction,
  DisturbanceController,
} from './disturbance_controller.js';
import {InterferenceModel, Neighbor} from './interference_model.js';
import {PlacementHistory} from './placement_history.js';
import {WorkerView} from './worker_view.js';

/** An action and the service that it helps. */
export interface DisturbanceDecision {
  readonly action: DisturbanceAction;
  /** Slowest service of the worker. */
  readonly service: AttemptReport;
}

/** Watches the services of all leased workers. */
export class DisturbanceWatch {
  private readonly model = InterferenceModel.create();
  private readonly histories = new Map<string, PlacementHistory>();
  private controller: DisturbanceController | undefined;

  private constructor(private readonly clock: Clock) {}

  /**
   * Creates a watch that has learned nothing.
   * @param clock - Clock of the process.
   */
  static create(clock: Clock): DisturbanceWatch {
    return new DisturbanceWatch(clock);
  }

  /** Gets what was learned. */
  getModel(): InterferenceModel {
    return this.model;
  }

  /**
   * Sets the objective and gets the slowdown that it accepts.
   * @param objective - Weights of the document in force.
   */
  setObjective(objective: Objective): number {
    this.controller = DisturbanceController.create(objective);
    return this.controller.getHighLimit();
  }

  /**
   * Learns from a report.
   * @param status - State of a worker with all its attempts.
   */
  addReport(status: WorkerStatus): void {
    const history = this.getOrAddHistory(status.workerId);
    history.addState(status.reportedAtMs, getNeighbors(status.attempts));
    for (const report of status.attempts) {
      if (report.kind !== 'service' || report.state !== 'running') continue;
      const neighbors = history.getStateAt(report.measuredAtMs);
      if (neighbors === undefined) continue;
      const {name: serviceName, slowdown} = report;
      this.model.addSample({serviceName, slowdown, neighbors});
    }
  }

  /**
   * Decides what to do on a worker.
   * @param view - Worker in question.
   * @param isStopping - Whether a task is being stopped already.
   * @returns `undefined` when nothing is to be done.
   */
  getDecision(
    view: WorkerView,
    isStopping: (taskId: string) => boolean,
  ): DisturbanceDecision | undefined {
    const service = getSlowestService(view.reports);
    if (service === undefined || this.controller === undefined) {
      return undefined;
    }
    const neighbors = this.getBatchNeighbors(view, service.name).filter(
      neighbor => !isStopping(neighbor.taskId),
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

  private getBatchNeighbors(
    view: WorkerView,
    serviceName: string,
  ): BatchNeighbor[] {
    const neighbors: BatchNeighbor[] = [];
    for (const report of view.reports) {
      const {taskId, attempt, cpuShare, progress, name, cores} = report;
      if (report.kind !== 'batch' || report.state !== 'running') continue;
      const perCore = this.model.getEffect(serviceName, name);
      const effect = perCore * cores * cpuShare;
      neighbors.push({taskId, attempt, cpuShare, progress, effect});
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
