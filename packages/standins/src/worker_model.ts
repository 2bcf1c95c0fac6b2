/**
 * Model of a worker agent: leases with epochs, attempts and request slots.
 *
 * Records each command that would exceed the capacity of the worker as a violation.
 */

import {err, ok, Result} from 'neverthrow';
import {Clock, Timer} from '@mustardlug/base/clock';
import {createRefusedError, RefusedError} from '@mustardlug/base/errors';
import {
  AttemptId,
  AttemptReport,
  AttemptStart,
  AttemptState,
  CommandOutcome,
  LeaseRelease,
  LeaseRequest,
  LeaseScope,
  LeaseToken,
  OwnerUsage,
  TASK_LEASE_MS,
  WorkerCommand,
  WorkerStatus,
} from '@mustardlug/platform/worker_client';

/** Capacity of a worker. */
export interface WorkerCapacity {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Checkpoint that an attempt was started from or has written; `undefined` without one. */
export interface AttemptCheckpoint extends AttemptId {
  readonly checkpoint: string | undefined;
}

/** Behavior of a worker; may be changed at any time. */
export interface WorkerBehavior {
  /** Whether attempts fail `FAILURE_DELAY_MS` after their start. */
  failsAll: boolean;
  /** Ratio of used to declared cores. */
  usedCoresFactor: number;
  /** Time to write a checkpoint when an attempt is stopped. */
  checkpointDurationMs: number;
  /** Whether the platform is removing the VM. */
  isLeaving: boolean;
  /** Gets the slowdown of colocated services per core that a batch job uses. */
  getInterference: (jobName: string) => number;
  /**
   * Gets the time after which an attempt of a service or job crashes the
   * worker; `undefined` if it does not.
   */
  getCrashDelayMs: (name: string) => number | undefined;
  /** Called when an attempt has crashed the worker. */
  onCrash: () => void;
}

interface ScopeLease {
  epoch: number;
  holderId: string | undefined;
  expiresAtMs: number;
  wantedBy: string | undefined;
}

interface ModelAttempt {
  readonly start: AttemptStart;
  state: AttemptState;
  cpuShare: number;
  /** Fraction of the work that was complete at `updatedMs`. */
  progress: number;
  updatedMs: number;
  startedProgress: number;
  coreMs: number;
  result: string | undefined;
  checkpoint: string | undefined;
  timer: Timer | undefined;
}

/** Run time of an attempt that fails. */
const FAILURE_DELAY_MS = 20;
const LEASE_CHECK_INTERVAL_MS = 1_000;
/** Number of attempts for which a late start command is refused. */
const MAX_CLOSED_ATTEMPTS = 10_000;
/** Slowdown factor up to which a service is reported only when its report changes. */
const MAX_UNREPORTED_SLOWDOWN = 1.02;

/** State machine of one worker agent. */
export class WorkerModel {
  readonly behavior: WorkerBehavior = {
    failsAll: false,
    usedCoresFactor: 0.8,
    checkpointDurationMs: 50,
    isLeaving: false,
    getInterference: () => 0,
    getCrashDelayMs: () => undefined,
    onCrash: () => undefined,
  };
  /** Commands that would have exceeded the capacity, in order. */
  readonly violations: string[] = [];
  /** All attempts that were started on this worker, in order. */
  readonly startedAttempts: AttemptCheckpoint[] = [];
  /** All checkpoints that attempts wrote on this worker, in order. */
  readonly checkpoints: AttemptCheckpoint[] = [];
  private readonly leases: Record<LeaseScope, ScopeLease>;
  private readonly attempts = new Map<string, ModelAttempt>();
  /** Attempts that must not start: acknowledged, or stopped before they were here. */
  private readonly closedAttempts = new Set<string>();
  private readonly usage = new Map<string, OwnerUsage>();
  private readonly bootedAtMs: number;
  private taskLeaseExpiresAtMs: number;
  private readonly sentReportSignatures = new Map<string, string>();
  private readonly removedAttempts: AttemptId[] = [];
  private reportNumber = 0;
  private requestsInProgress = 0;
  private leaseTimer: Timer | undefined;
  private crashTimer: Timer | undefined;

  private constructor(
    readonly workerId: string,
    readonly bootId: string,
    readonly capacity: WorkerCapacity,
    private readonly clock: Clock,
  ) {
    this.bootedAtMs = clock.getMonotonicMs();
    // Starting from the wall time makes epochs increase across reboots without stored state.
    const bootEpoch = Math.floor(clock.getWallMs());
    this.leases = {
      requests: createUnheldLease(bootEpoch),
      tasks: createUnheldLease(bootEpoch),
    };
    this.taskLeaseExpiresAtMs = this.bootedAtMs;
    this.scheduleLeaseCheck();
  }

  /**
   * Creates a worker that has just booted.
   * @param workerId - Id of the VM.
   * @param bootId - Id of this boot.
   * @param capacity - Its capacity.
   * @param clock - Its clock.
   */
  static create(
    workerId: string,
    bootId: string,
    capacity: WorkerCapacity,
    clock: Clock,
  ): WorkerModel {
    return new WorkerModel(workerId, bootId, capacity, clock);
  }

  /** Destroys the worker and all attempts on it. */
  destroy(): void {
    this.leaseTimer?.cancel();
    this.crashTimer?.cancel();
    for (const attempt of this.attempts.values()) {
      this.updateProgress(attempt);
      attempt.timer?.cancel();
    }
    this.attempts.clear();
  }

  /**
   * Grants or renews a lease.
   * @param request - Scope, holder and duration.
   */
  requestLease(request: LeaseRequest): Result<WorkerStatus, RefusedError> {
    if (this.isOtherBoot(request)) return refuse('the worker was restarted');
    const lease = this.leases[request.scope];
    const nowMs = this.clock.getMonotonicMs();
    const isAvailable =
      lease.holderId === undefined || lease.expiresAtMs <= nowMs;
    if (request.epoch !== undefined) {
      const isCurrent =
        !isAvailable &&
        lease.holderId === request.holderId &&
        lease.epoch === request.epoch;
      if (!isCurrent) return refuse(`epoch ${request.epoch} is over`);
    } else {
      if (!isAvailable && lease.holderId !== request.holderId) {
        lease.wantedBy = request.holderId;
        return refuse(`held by ${lease.holderId}`);
      }
      lease.epoch++;
      lease.holderId = request.holderId;
    }
    lease.expiresAtMs = nowMs + request.ttlMs;
    if (request.scope === 'tasks')
      this.taskLeaseExpiresAtMs = lease.expiresAtMs;
    const status = this.getStatus(request);
    lease.wantedBy = undefined;
    return ok(status);
  }

  /**
   * Releases a lease.
   * @param release - Lease to release.
   */
  releaseLease(release: LeaseRelease): Result<void, RefusedError> {
    if (this.isOtherBoot(release)) return refuse('the worker was restarted');
    const lease = this.leases[release.scope];
    if (lease.epoch !== release.epoch) return refuse('the epoch is over');
    lease.holderId = undefined;
    return ok(undefined);
  }

  /**
   * Executes commands of the holder of the `tasks` lease.
   * @param token - Identity of the lease.
   * @param commands - Commands in order.
   */
  runCommands(
    token: LeaseToken,
    commands: readonly WorkerCommand[],
  ): Result<CommandOutcome[], RefusedError> {
    if (!this.isCurrentLease('tasks', token)) {
      return refuse(`epoch ${token.epoch} is over or of another boot`);
    }
    return ok(commands.map(command => this.runCommand(command)));
  }

  /**
   * Takes a request slot, if the lease is current and a slot is free.
   * @param token - Identity of the lease that the request carries.
   * @param serviceName - Service that the request is for.
   */
  beginRequest(
    token: LeaseToken,
    serviceName: string,
  ): Result<void, RefusedError> {
    if (!this.isCurrentLease('requests', token))
      return refuse('stale epoch or another boot');
    const replica = this.getReplicas().find(
      candidate => candidate.serviceName === serviceName,
    );
    if (replica === undefined)
      return refuse(`${serviceName} does not run here`);
    if (this.requestsInProgress >= replica.slots) return refuse('no free slot');
    this.requestsInProgress++;
    return ok(undefined);
  }

  /** Releases a request slot. */
  endRequest(): void {
    this.requestsInProgress--;
  }

  getRunningAttempts(): AttemptId[] {
    const running: AttemptId[] = [];
    for (const {start, state} of this.attempts.values()) {
      if (state !== 'running') continue;
      running.push({taskId: start.taskId, attempt: start.attempt});
    }
    return running;
  }

  /**
   * Gets the slowdown factor of services that the batch attempts on this worker
   * cause.
   */
  getServiceSlowdown(): number {
    let slowdown = 1;
    for (const {start, state, cpuShare} of this.attempts.values()) {
      if (state !== 'running' || start.kind !== 'batch') continue;
      const effect = this.behavior.getInterference(start.name);
      slowdown += start.cores * cpuShare * effect;
    }
    return slowdown;
  }

  private isOtherBoot({bootId}: Partial<LeaseToken>): boolean {
    return bootId !== undefined && bootId !== this.bootId;
  }

  private isCurrentLease(scope: LeaseScope, token: LeaseToken): boolean {
    if (this.isOtherBoot(token)) return false;
    const lease = this.leases[scope];
    const isHeld = lease.expiresAtMs > this.clock.getMonotonicMs();
    return (
      isHeld && lease.holderId !== undefined && lease.epoch === token.epoch
    );
  }

  private runCommand(command: WorkerCommand): CommandOutcome {
    switch (command.kind) {
      case 'start':
        return this.startAttempt(command.start);
      case 'stop':
        return this.stopAttempt(command.name);
      case 'throttle':
        return this.throttleAttempt(command.name, command.cpuShare);
      case 'acknowledge':
        return this.acknowledgeAttempt(command.name);
    }
  }

  private startAttempt(start: AttemptStart): CommandOutcome {
    const key = getAttemptKey(start);
    if (this.attempts.has(key)) return {isAccepted: true};
    if (this.closedAttempts.has(key)) {
      return {isAccepted: false, reason: 'the attempt has ended'};
    }
    if (!this.checkCapacity(start)) {
      return {isAccepted: false, reason: 'no capacity'};
    }
    const progress = getCheckpointProgress(start.checkpoint);
    const attempt: ModelAttempt = {
      start,
      state: 'running',
      cpuShare: 1,
      progress,
      startedProgress: progress,
      updatedMs: this.clock.getMonotonicMs(),
      coreMs: 0,
      result: undefined,
      checkpoint: undefined,
      timer: undefined,
    };
    this.attempts.set(key, attempt);
    const {taskId, attempt: attemptNumber, checkpoint} = start;
    this.startedAttempts.push({taskId, attempt: attemptNumber, checkpoint});
    this.scheduleCompletion(attempt);
    this.scheduleCrash(start.name);
    return {isAccepted: true};
  }

  private scheduleCrash(name: string): void {
    const delayMs = this.behavior.getCrashDelayMs(name);
    if (delayMs === undefined || this.crashTimer !== undefined) return;
    this.crashTimer = this.clock.setTimer(delayMs, () => {
      this.destroy();
      this.behavior.onCrash();
    });
  }

  /**
   * Checks whether an attempt fits next to the running ones, and records a
   * violation if not.
   */
  private checkCapacity(start: AttemptStart): boolean {
    let {cores, memoryMb, accelerators} = start;
    for (const {start: other, state} of this.attempts.values()) {
      if (state !== 'running') continue;
      cores += other.cores;
      memoryMb += other.memoryMb;
      accelerators += other.accelerators;
    }
    const fits =
      cores <= this.capacity.cores + 1e-9 &&
      memoryMb <= this.capacity.memoryMb &&
      accelerators <= this.capacity.accelerators;
    if (!fits) {
      this.violations.push(
        `start command would raise the load of ${this.workerId} to ${cores} cores, ${memoryMb} MB, ${accelerators} accelerators`,
      );
    }
    return fits;
  }

  private scheduleCompletion(attempt: ModelAttempt): void {
    attempt.timer?.cancel();
    if (this.behavior.failsAll) {
      attempt.timer = this.clock.setTimer(FAILURE_DELAY_MS, () =>
        this.endAttempt(attempt, 'failed'),
      );
      return;
    }
    if (attempt.start.kind === 'service') return;
    const {expectedRunMs} = attempt.start;
    const remaining = 1 - attempt.progress;
    const delayMs = (remaining * expectedRunMs) / attempt.cpuShare;
    attempt.timer = this.clock.setTimer(delayMs, () => {
      attempt.result = `result of ${attempt.start.taskId}`;
      this.endAttempt(attempt, 'finished');
    });
  }

  private endAttempt(attempt: ModelAttempt, state: AttemptState): void {
    if (attempt.state !== 'running') return;
    this.updateProgress(attempt);
    attempt.timer?.cancel();
    attempt.state = state;
    if (state === 'finished') attempt.progress = 1;
    if (attempt.checkpoint !== undefined) {
      const {taskId, attempt: attemptNumber} = attempt.start;
      const {checkpoint} = attempt;
      this.checkpoints.push({taskId, attempt: attemptNumber, checkpoint});
    }
    this.addUsage(attempt);
  }

  private stopAttempt(id: AttemptId): CommandOutcome {
    const key = getAttemptKey(id);
    const attempt = this.attempts.get(key);
    if (attempt === undefined) {
      this.closeAttempt(key);
      return {isAccepted: false, reason: 'the attempt is not here'};
    }
    if (attempt.state !== 'running') return {isAccepted: true};
    attempt.timer?.cancel();
    attempt.timer = this.clock.setTimer(
      this.behavior.checkpointDurationMs,
      () => {
        this.updateProgress(attempt);
        if (attempt.start.kind === 'batch') {
          attempt.checkpoint = `progress:${attempt.progress}`;
        }
        this.endAttempt(attempt, 'stopped');
      },
    );
    return {isAccepted: true};
  }

  private throttleAttempt(id: AttemptId, cpuShare: number): CommandOutcome {
    const attempt = this.attempts.get(getAttemptKey(id));
    if (attempt?.state !== 'running') {
      return {isAccepted: false, reason: 'the attempt does not run'};
    }
    this.updateProgress(attempt);
    attempt.cpuShare = cpuShare;
    this.scheduleCompletion(attempt);
    return {isAccepted: true};
  }

  private acknowledgeAttempt(id: AttemptId): CommandOutcome {
    const key = getAttemptKey(id);
    const attempt = this.attempts.get(key);
    if (attempt?.state === 'running') {
      return {isAccepted: false, reason: 'the attempt still runs'};
    }
    if (this.attempts.delete(key)) {
      const {taskId, attempt: attemptNumber} = id;
      this.removedAttempts.push({taskId, attempt: attemptNumber});
    }
    this.sentReportSignatures.delete(key);
    this.closeAttempt(key);
    return {isAccepted: true};
  }

  private closeAttempt(key: string): void {
    this.closedAttempts.add(key);
    if (this.closedAttempts.size <= MAX_CLOSED_ATTEMPTS) return;
    const [oldest] = this.closedAttempts;
    this.closedAttempts.delete(oldest);
  }

  private updateProgress(attempt: ModelAttempt): void {
    if (attempt.state !== 'running') return;
    const nowMs = this.clock.getMonotonicMs();
    const elapsedMs = nowMs - attempt.updatedMs;
    const {cores, expectedRunMs, kind} = attempt.start;
    attempt.updatedMs = nowMs;
    attempt.coreMs += elapsedMs * cores * attempt.cpuShare;
    if (kind === 'service') return;
    const addedProgress = (elapsedMs * attempt.cpuShare) / expectedRunMs;
    attempt.progress = Math.min(1, attempt.progress + addedProgress);
  }

  private addUsage(attempt: ModelAttempt): void {
    const {team, name, kind} = attempt.start;
    const key = `${team}/${kind}/${name}`;
    const total = this.usage.get(key);
    const isLost = attempt.state === 'failed';
    this.usage.set(key, {
      team,
      name,
      kind,
      coreMs: (total?.coreMs ?? 0) + attempt.coreMs,
      lostCoreMs: (total?.lostCoreMs ?? 0) + (isLost ? attempt.coreMs : 0),
    });
  }

  private getUsage(): OwnerUsage[] {
    const totals = new Map(this.usage);
    for (const attempt of this.attempts.values()) {
      if (attempt.state !== 'running') continue;
      this.updateProgress(attempt);
      const {team, name, kind} = attempt.start;
      const key = `${team}/${kind}/${name}`;
      const total = totals.get(key);
      totals.set(key, {
        team,
        name,
        kind,
        coreMs: (total?.coreMs ?? 0) + attempt.coreMs,
        lostCoreMs: total?.lostCoreMs ?? 0,
      });
    }
    return [...totals.values()];
  }

  private getStatus(request: LeaseRequest): WorkerStatus {
    const {scope, knownReport, withUsage} = request;
    const lease = this.leases[scope];
    const isTaskScope = scope === 'tasks';
    const isWholeReport =
      knownReport === undefined || knownReport !== this.reportNumber;
    if (isTaskScope) this.reportNumber++;
    return {
      workerId: this.workerId,
      bootId: this.bootId,
      epoch: lease.epoch,
      isLeaving: this.behavior.isLeaving,
      reportedAtMs: this.clock.getWallMs(),
      requestsInProgress: this.requestsInProgress,
      replicas: isTaskScope ? [] : this.getReplicas(),
      reportNumber: this.reportNumber,
      isWholeReport,
      removedAttempts: isTaskScope ? this.takeRemovedAttempts() : [],
      attempts: isTaskScope ? this.getChangedReports(isWholeReport) : [],
      ...(isTaskScope && withUsage && {usage: this.getUsage()}),
      uptimeMs: this.clock.getMonotonicMs() - this.bootedAtMs,
      ...this.capacity,
      ...(lease.wantedBy !== undefined && {wantedBy: lease.wantedBy}),
    };
  }

  private getReplicas() {
    const replicas = [];
    for (const {start, state} of this.attempts.values()) {
      if (start.kind !== 'service' || state !== 'running') continue;
      const {name: serviceName, slots, connections} = start;
      replicas.push({serviceName, slots, connections});
    }
    return replicas;
  }

  private takeRemovedAttempts(): AttemptId[] {
    return this.removedAttempts.splice(0);
  }

  /** Gets the reports that changed since they were last sent, or all for a full report. */
  private getChangedReports(isWholeReport: boolean): AttemptReport[] {
    const reports: AttemptReport[] = [];
    for (const report of this.getAllReports()) {
      const key = getAttemptKey(report);
      const signature = getReportSignature(report);
      const isKnown = this.sentReportSignatures.get(key) === signature;
      if (isKnown && !isWholeReport && !isSlowedDown(report)) continue;
      this.sentReportSignatures.set(key, signature);
      reports.push(report);
    }
    return reports;
  }

  private getAllReports(): AttemptReport[] {
    const slowdown = this.getServiceSlowdown();
    return [...this.attempts.values()].map(attempt => {
      this.updateProgress(attempt);
      const {start} = attempt;
      const {usedCoresFactor} = this.behavior;
      return {
        taskId: start.taskId,
        attempt: start.attempt,
        kind: start.kind,
        name: start.name,
        state: attempt.state,
        cores: start.cores,
        memoryMb: start.memoryMb,
        accelerators: start.accelerators,
        usedCores: start.cores * usedCoresFactor * attempt.cpuShare,
        usedMemoryMb: start.memoryMb,
        cpuShare: attempt.cpuShare,
        progress: attempt.progress,
        coreMs: attempt.coreMs,
        slowdown: start.kind === 'service' ? slowdown : 1,
        measuredAtMs: this.clock.getWallMs(),
        ...(attempt.checkpoint !== undefined && {
          checkpoint: attempt.checkpoint,
        }),
        ...(attempt.result !== undefined && {result: attempt.result}),
      };
    });
  }

  private scheduleLeaseCheck(): void {
    this.leaseTimer = this.clock.setTimer(LEASE_CHECK_INTERVAL_MS, () => {
      this.stopUnleasedAttempts();
      this.scheduleLeaseCheck();
    });
  }

  /** Stops all attempts when the `tasks` lease has been expired for `TASK_LEASE_MS`. */
  private stopUnleasedAttempts(): void {
    const expiredForMs =
      this.clock.getMonotonicMs() - this.taskLeaseExpiresAtMs;
    if (expiredForMs < TASK_LEASE_MS) return;
    for (const attempt of this.attempts.values()) {
      if (attempt.state !== 'running') continue;
      this.updateProgress(attempt);
      if (attempt.start.kind === 'batch') {
        attempt.checkpoint = `progress:${attempt.progress}`;
      }
      this.endAttempt(attempt, 'stopped');
    }
  }
}

function createUnheldLease(bootEpoch: number): ScopeLease {
  return {
    epoch: bootEpoch,
    holderId: undefined,
    expiresAtMs: 0,
    wantedBy: undefined,
  };
}

function refuse<T>(reason: string): Result<T, RefusedError> {
  return err(createRefusedError(reason));
}

function getAttemptKey(id: AttemptId): string {
  return `${id.taskId}#${id.attempt}`;
}

/** Gets the fields of a report that cause it to be sent again when they change, as a string. */
function getReportSignature(report: AttemptReport): string {
  const {state, cpuShare, usedCores} = report;
  return `${state}/${cpuShare}/${usedCores.toFixed(1)}/${isSlowedDown(report)}`;
}

/**
 * Checks whether a report is sent even if unchanged: the scheduler acts on a
 * slowed-down service only after a new measurement.
 */
function isSlowedDown(report: AttemptReport): boolean {
  return report.slowdown > MAX_UNREPORTED_SLOWDOWN;
}

function getCheckpointProgress(checkpoint: string | undefined): number {
  if (checkpoint === undefined) return 0;
  return Number(checkpoint.replace('progress:', ''));
}
