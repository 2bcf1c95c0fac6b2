/** Checks each worker when it reports, and acts on its runs. */

import {Clock} from '@mustardlug/base/clock';
import {RunOutcome} from '@mustardlug/platform/job_worker_client';
import {EventRecorder} from '@mustardlug/telemetry/event_recorder';
import {InterferenceModel} from './interference_model.js';
import {getRunsToMove} from './drain_planner.js';
import {DurationModel} from './duration_model.js';
import {FillerController} from './filler_controller.js';
import {ServingRelocator} from './serving_relocator.js';
import {PlacementWorker} from './placement_pass.js';
import {Preemption} from './room_reservations.js';
import {UrgentPreemption} from './urgent_preemption.js';
import {getTaskName} from './task_names.js';
import {HealthChange, WorkerHealth} from './worker_health.js';
import {AssignedRun} from './worker_load.js';
import {SessionExclusion, WorkerSession} from './worker_session.js';

/**
 * Longest wait for the leases of a worker that long-running tasks there can take: they have
 * to run again 9 s after their last run, of which 0.5 s pass until they are started.
 */
const MAX_LEASE_WAIT_MS = 8_500;

export interface WorkerSupervisorOptions {
  readonly clock: Clock;
  readonly events: EventRecorder;
}

/** Why a worker may not get new runs of any step. */
export type UnusableReason = SessionExclusion | 'quarantined';

/** Stops, throttles and moves runs that should not continue as they are. */
export class WorkerSupervisor {
  private readonly fillerController: FillerController;
  private readonly health = WorkerHealth.create({
    durationModel: DurationModel.create(),
  });

  private readonly relocator: ServingRelocator;
  /** Workers that were usable in the latest placement pass, by service. */
  private usableWorkers: ReadonlyMap<string, readonly PlacementWorker[]> =
    new Map();

  private constructor(private readonly options: WorkerSupervisorOptions) {
    this.fillerController = FillerController.create(options);
    this.relocator = ServingRelocator.create(
      this.fillerController.interferenceModel,
    );
  }

  /**
   * Creates a supervisor without any known workers.
   * @param options - Clock and events.
   */
  static create(options: WorkerSupervisorOptions): WorkerSupervisor {
    return new WorkerSupervisor(options);
  }

  /** Gets the model of the interference of fillers with serving tasks. */
  getInterferenceModel(): InterferenceModel {
    return this.fillerController.interferenceModel;
  }

  /**
   * Acts on the latest report of a worker.
   * @param session - Worker that reported.
   */
  applyReport(session: WorkerSession): void {
    this.stopObsoleteRuns(session);
    this.fillerController.applyReport(session);
    this.evaluateHealth(session);
    this.relocateServingTask(session);
    this.evacuateDrainingWorker(session);
  }

  /**
   * Moves runs off a draining worker that cannot end before it leaves.
   * @param session - Worker that may be draining.
   */
  evacuateDrainingWorker(session: WorkerSession): void {
    const {isDraining, drainRemainingMs} = session.getRecord();
    if (!isDraining) return;
    const nowMs = this.options.clock.getMonotonicMs();
    const runs = getRunsToMove(session.load, drainRemainingMs, nowMs);
    const reason = `the worker is draining and leaves in ${drainRemainingMs ?? 'unknown'} ms`;
    for (const assigned of runs) this.moveRun(session, assigned, reason);
  }

  /**
   * Records the placement of a run.
   * @param session - Worker of the placement.
   * @param assigned - Run that was placed.
   */
  recordPlacement(session: WorkerSession, assigned: AssignedRun): void {
    const {run, step} = assigned;
    this.health.recordPlacement(session.getId(), run.placedMs);
    const {isFiller, image} = step.spec;
    if (!isFiller) return;
    const {interferenceModel} = this.fillerController;
    interferenceModel.recordPlacement(image ?? '', session.load, run.placedMs);
  }

  /**
   * Records the end of a run.
   * @param assigned - Run that ended.
   * @param end - How it ended.
   */
  recordRunEnd(assigned: AssignedRun, end: RunOutcome): void {
    if (assigned.step.spec.isLongRunning) return;
    const nowMs = this.options.clock.getMonotonicMs();
    const change = this.health.recordRunEnd(assigned, end, nowMs);
    this.recordHealthChange(assigned.run.workerId, change);
  }

  /**
   * Forgets a worker of which nothing can be left.
   * @param workerId - Identifier of the worker.
   */
  forgetWorker(workerId: string): void {
    this.health.forgetWorker(workerId);
    this.fillerController.forgetWorker(workerId);
  }

  /**
   * Gets the workers that may get new runs, by service.
   * @param sessions - All workers.
   */
  getUsableWorkers(
    sessions: readonly WorkerSession[],
  ): Map<string, PlacementWorker[]> {
    const nowMs = this.options.clock.getMonotonicMs();
    const workers = new Map<string, PlacementWorker[]>();
    for (const session of sessions) {
      const worker = this.getPlacementWorker(session, nowMs);
      if (typeof worker === 'string') continue;
      const {serviceName} = session.getRecord();
      const list = workers.get(serviceName) ?? [];
      list.push(worker);
      workers.set(serviceName, list);
    }
    this.usableWorkers = workers;
    return workers;
  }

  /**
   * Gets a worker for the placement of new runs, or the first reason why it may
   * not get any.
   * @param session - Worker.
   * @param nowMs - Monotonic time.
   */
  getPlacementWorker(
    session: WorkerSession,
    nowMs: number,
  ): PlacementWorker | UnusableReason {
    const exclusion = session.findExclusion();
    if (exclusion !== undefined) return exclusion;
    const workerId = session.getId();
    if (!this.health.isUsable(workerId, nowMs)) return 'quarantined';
    const {rack, labels} = session.getRecord();
    const acceptsFillers = this.fillerController.canAddFillers(workerId, nowMs);
    const mayHoldLongLease =
      session.getLeaseEndMs() - nowMs > MAX_LEASE_WAIT_MS;
    return {
      session,
      load: session.load,
      rack,
      labels,
      acceptsFillers,
      mayHoldLongLease,
    };
  }

  /**
   * Stops a batch run, so that an interrupted task has room on its worker.
   * @param preemption - Run and task.
   */
  preempt({worker, assigned, request}: Preemption): void {
    const {job, occurrence, step} = request.waiting;
    const taskName = getTaskName(job, occurrence, step, request.task);
    const reason = `task ${taskName}, which was running before, has no room on any worker`;
    this.moveRun(worker.session, assigned, reason);
  }

  /**
   * Stops a batch run of lower priority, so that an urgent job has room in time.
   * @param preemption - Run and urgent step.
   */
  preemptForUrgent({worker, assigned, waiting}: UrgentPreemption): void {
    const {job, step} = waiting;
    this.options.events.addEvent('run-preempted', {
      requestId: assigned.job.getId(),
      taskId: assigned.taskName,
      workerId: worker.session.getId(),
      detail: `step ${job.getId()}.${waiting.occurrence}.${step.index} of priority ${waiting.queue.priority} would miss its objective`,
    });
    void worker.session.stopRun(assigned);
  }

  /** Stops runs whose job or task ended, such as while their worker was not registered. */
  private stopObsoleteRuns(session: WorkerSession): void {
    for (const assigned of session.load.getRuns()) {
      const {job, task, run} = assigned;
      if (run.isStopping || !(job.isEnded() || task.isDone)) continue;
      void session.stopRun(assigned);
    }
  }

  /** Quarantines a worker that is slower than expected, and moves its stragglers. */
  private evaluateHealth(session: WorkerSession): void {
    const nowMs = this.options.clock.getMonotonicMs();
    const workerId = session.getId();
    const {load} = session;
    const responseState =
      this.fillerController.interferenceModel.getResponseState(load);
    const change = this.health.evaluate(load, workerId, nowMs, responseState);
    this.recordHealthChange(workerId, change);
    if (!this.health.isQuarantined(workerId)) return;
    for (const assigned of this.health.findStragglers(load, nowMs))
      void session.stopRun(assigned);
  }

  /**
   * Moves a serving task off a quarantined worker on which all response times
   * are saturated. As the task misses its target anyway, moving it costs little.
   */
  private relocateServingTask(session: WorkerSession): void {
    const nowMs = this.options.clock.getMonotonicMs();
    const {serviceName} = session.getRecord();
    const workers = this.usableWorkers.get(serviceName) ?? [];
    const found = this.relocator.findRunToMove(session.load, workers, nowMs);
    if (found === undefined || !this.health.isQuarantined(session.getId()))
      return;
    const {run, step} = found;
    const reason = `all serving tasks on the worker miss their response time targets: ${run.usage} ms against ${step.spec.targetResponseMs} ms for this task`;
    this.moveRun(session, found, reason);
  }

  /** Stops a run, so that its task starts on another worker. */
  private moveRun(
    session: WorkerSession,
    assigned: AssignedRun,
    reason: string,
  ): void {
    this.options.events.addEvent('run-moved', {
      requestId: assigned.job.getId(),
      taskId: assigned.taskName,
      workerId: session.getId(),
      detail: reason,
    });
    void session.stopRun(assigned);
  }

  private recordHealthChange(workerId: string, change: HealthChange): void {
    if (change === 'unchanged') return;
    const name =
      change === 'quarantined' ? 'worker-set-aside' : 'worker-restored';
    this.options.events.addEvent(name, {workerId});
  }
}
