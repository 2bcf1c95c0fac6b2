/**
 * A worker's agent in memory: leases by epoch, attempts and request slots.
 *
 * It checks what the system must never do and notes each violation.
 */

import {err, ok, Result} from 'neverthrow';
import {Clock, Timer} from '@mustardlug/base/clock';
import {createRefusedError, RefusedError} from '@mustardlug/base/errors';
import {
  AttemptName,
  AttemptReport,
  AttemptStart,
  AttemptState,
  CommandOutcome,
  LeaseRelease,
  LeaseRequest,
  LeaseScope,
  OwnerUsage,
  TASK_LEASE_MS,
  WorkerCommand,
  WorkerStatus,
} from '@mustardlug/platform/worker_client';

/** Size of a worker. */
export interface WorkerSize {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** An attempt and the checkpoint that it began or ended with. */
export interface StartedAttempt extends AttemptName {
  readonly checkpoint: string | undefined;
}

/** Behaviour that tests set. */
export interface WorkerBehavior {
  /** Every attempt fails soon after its start. */
  failsAll: boolean;
  /** Real use of processors over the declared one. */
  usedCoresFactor: number;
  /** Time that a checkpoint takes. */
  checkpointMs: number;
  /** The platform is taking the VM away. */
  isLeaving: boolean;
  /** Gets the slowdown of services for each core of a batch job beside them. */
  getInterference: (jobName: string) => number;
}

interface ScopeLease {
  epoch: number;
  holderId: string | undefined;
  expiresAtMs: number;
  wantedBy: string | undefined;
}

interface RunningAttempt {
  readonly start: AttemptStart;
  state: AttemptState;
  cpuShare: number;
  /** Fraction of the work that was done at `sinceMs`. */
  doneAtSince: number;
  sinceMs: number;
  startedProgress: number;
  coreMs: number;
  result: string | undefined;
  checkpoint: string | undefined;
  timer: Timer | undefined;
}

const FAILURE_DELAY_MS = 20;
const LEASE_CHECK_MS = 1_000;
const MAX_ACKNOWLEDGED = 10_000;
const REPORTED_SLOWDOWN = 1.02;

/** State machine of one worker. */
export class WorkerModel {
  /** Behaviour; change it at any time. */
  readonly behavior: WorkerBehavior = {
    failsAll: false,
    usedCoresFactor: 0.8,
    checkpointMs: 50,
    isLeaving: false,
    getInterference: () => 0,
  };
  /** What the system did although it must not. */
  readonly violations: string[] = [];
  /** Every attempt that was started here, in order. */
  readonly startedAttempts: StartedAttempt[] = [];
  /** Every checkpoint that an attempt left here, in order. */
  readonly checkpoints: StartedAttempt[] = [];
  private readonly leases: Record<LeaseScope, ScopeLease>;
  private readonly attempts = new Map<string, RunningAttempt>();
  private readonly acknowledged = new Set<string>();
  private readonly usage = new Map<string, OwnerUsage>();
  private readonly bootedAtMs: number;
  private lastTaskLeaseMs: number;
  private readonly sentSignatures = new Map<string, string>();
  private readonly removedAttempts: AttemptName[] = [];
  private reportNumber = 0;
  private requestsInProgress = 0;
  private leaseTimer: Timer | undefined;

  private constructor(
    readonly workerId: string,
    readonly bootId: string,
    readonly size: WorkerSize,
    private readonly clock: Clock,
  ) {
    this.bootedAtMs = clock.getMonotonicMs();
    // Wall time makes epochs grow over reboots although nothing is stored.
    const bootEpoch = Math.floor(clock.getWallMs());
    this.leases = {
      requests: createFreeLease(bootEpoch),
      tasks: createFreeLease(bootEpoch),
    };
    this.lastTaskLeaseMs = this.bootedAtMs;
    this.scheduleLeaseCheck();
  }

  /**
   * Creates a worker that has just booted.
   * @param workerId - Id of the VM.
   * @param bootId - Id of this boot.
   * @param size - Its capacity.
   * @param clock - Its clock.
   */
  static create(
    workerId: string,
    bootId: string,
    size: WorkerSize,
    clock: Clock,
  ): WorkerModel {
    return new WorkerModel(workerId, bootId, size, clock);
  }

  /** Ends the worker; nothing runs any more. */
  destroy(): void {
    this.leaseTimer?.cancel();
    for (const attempt of this.attempts.values()) {
      this.settleProgress(attempt);
      attempt.timer?.cancel();
    }
    this.attempts.clear();
  }

  /**
   * Grants or renews a lease.
   * @param request - Scope, holder and duration.
   */
  requestLease(request: LeaseRequest): Result<WorkerStatus, RefusedError> {
    const lease = this.leases[request.scope];
    const nowMs = this.clock.getMonotonicMs();
    const isFree = lease.holderId === undefined || lease.expiresAtMs <= nowMs;
    if (request.epoch !== undefined) {
      const isCurrent =
        !isFree &&
        lease.holderId === request.holderId &&
        lease.epoch === request.epoch;
      if (!isCurrent) return refuse(`epoch ${request.epoch} is over`);
    } else {
      if (!isFree && lease.holderId !== request.holderId) {
        lease.wantedBy = request.holderId;
        return refuse(`held by ${lease.holderId}`);
      }
      lease.epoch++;
      lease.holderId = request.holderId;
    }
    lease.expiresAtMs = nowMs + request.ttlMs;
    if (request.scope === 'tasks') this.lastTaskLeaseMs = lease.expiresAtMs;
    const status = this.getStatus(request);
    lease.wantedBy = undefined;
    return ok(status);
  }

  /**
   * Takes a lease back.
   * @param release - Lease to end.
   */
  releaseLease(release: LeaseRelease): Result<void, RefusedError> {
    const lease = this.leases[release.scope];
    if (lease.epoch !== release.epoch) return refuse('the epoch is over');
    lease.holderId = undefined;
    return ok(undefined);
  }

  /**
   * Runs commands of the `tasks` holder.
   * @param epoch - Epoch of its lease.
   * @param commands - Commands in order.
   */
  runCommands(
    epoch: number,
    commands: readonly WorkerCommand[],
  ): Result<CommandOutcome[], RefusedError> {
    if (!this.isCurrentEpoch('tasks', epoch)) {
      return refuse(`epoch ${epoch} is over`);
    }
    return ok(commands.map(command => this.runCommand(command)));
  }

  /**
   * Checks whether a request may use a slot, and takes it.
   * @param epoch - Epoch that the request carries.
   * @param serviceName - Service that it is for.
   */
  beginRequest(epoch: number, serviceName: string): Result<void, RefusedError> {
    if (!this.isCurrentEpoch('requests', epoch)) return refuse('stale epoch');
    const replica = this.getReplicas().find(
      candidate => candidate.serviceName === serviceName,
    );
    if (replica === undefined)
      return refuse(`${serviceName} does not run here`);
    if (this.requestsInProgress >= replica.slots) return refuse('no free slot');
    this.requestsInProgress++;
    return ok(undefined);
  }

  /** Gives a slot back. */
  endRequest(): void {
    this.requestsInProgress--;
  }

  /** Gets the attempts that run now. */
  getRunningAttempts(): AttemptName[] {
    const running: AttemptName[] = [];
    for (const {start, state} of this.attempts.values()) {
      if (state !== 'running') continue;
      running.push({taskId: start.taskId, attempt: start.attempt});
    }
    return running;
  }

  /** Gets how much slower services run than undisturbed. */
  getServiceSlowdown(): number {
    let slowdown = 1;
    for (const {start, state, cpuShare} of this.attempts.values()) {
      if (state !== 'running' || start.kind !== 'batch') continue;
      const effect = this.behavior.getInterference(start.name);
      slowdown += start.cores * cpuShare * effect;
    }
    return slowdown;
  }

  private isCurrentEpoch(scope: LeaseScope, epoch: number): boolean {
    const lease = this.leases[scope];
    const isHeld = lease.expiresAtMs > this.clock.getMonotonicMs();
    return isHeld && lease.holderId !== undefined && lease.epoch === epoch;
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
    if (this.acknowledged.has(key)) {
      return {isAccepted: false, reason: 'the attempt has ended'};
    }
    if (!this.isFitting(start)) {
      return {isAccepted: false, reason: 'no capacity'};
    }
    const progress = getCheckpointProgress(start.checkpoint);
    const attempt: RunningAttempt = {
      start,
      state: 'running',
      cpuShare: 1,
      doneAtSince: progress,
      startedProgress: progress,
      sinceMs: this.clock.getMonotonicMs(),
      coreMs: 0,
      result: undefined,
      checkpoint: undefined,
      timer: undefined,
    };
    this.attempts.set(key, attempt);
    const {taskId, attempt: number, checkpoint} = start;
    this.startedAttempts.push({taskId, attempt: number, checkpoint});
    this.scheduleEnd(attempt);
    return {isAccepted: true};
  }

  private isFitting(start: AttemptStart): boolean {
    let {cores, memoryMb, accelerators} = start;
    for (const {start: other, state} of this.attempts.values()) {
      if (state !== 'running') continue;
      cores += other.cores;
      memoryMb += other.memoryMb;
      accelerators += other.accelerators;
    }
    const fits =
      cores <= this.size.cores + 1e-9 &&
      memoryMb <= this.size.memoryMb &&
      accelerators <= this.size.accelerators;
    if (!fits) {
      this.violations.push(
        `${this.workerId} was asked to hold ${cores} cores, ${memoryMb} MB, ${accelerators} accelerators`,
      );
    }
    return fits;
  }

  private scheduleEnd(attempt: RunningAttempt): void {
    attempt.timer?.cancel();
    if (this.behavior.failsAll) {
      attempt.timer = this.clock.setTimer(FAILURE_DELAY_MS, () =>
        this.endAttempt(attempt, 'failed'),
      );
      return;
    }
    if (attempt.start.kind === 'service') return;
    const {expectedRunMs} = attempt.start;
    const remaining = 1 - attempt.doneAtSince;
    const delayMs = (remaining * expectedRunMs) / attempt.cpuShare;
    attempt.timer = this.clock.setTimer(delayMs, () => {
      attempt.result = `result of ${attempt.start.taskId}`;
      this.endAttempt(attempt, 'finished');
    });
  }

  private endAttempt(attempt: RunningAttempt, state: AttemptState): void {
    if (attempt.state !== 'running') return;
    this.settleProgress(attempt);
    attempt.timer?.cancel();
    attempt.state = state;
    if (state === 'finished') attempt.doneAtSince = 1;
    if (attempt.checkpoint !== undefined) {
      const {taskId, attempt: number} = attempt.start;
      const {checkpoint} = attempt;
      this.checkpoints.push({taskId, attempt: number, checkpoint});
    }
    this.addUsage(attempt);
  }

  private stopAttempt(name: AttemptName): CommandOutcome {
    const attempt = this.attempts.get(getAttemptKey(name));
    if (attempt === undefined) {
      return {isAccepted: false, reason: 'the attempt is not here'};
    }
    if (attempt.state !== 'running') return {isAccepted: true};
    attempt.timer?.cancel();
    attempt.timer = this.clock.setTimer(this.behavior.checkpointMs, () => {
      this.settleProgress(attempt);
      if (attempt.start.kind === 'batch') {
        attempt.checkpoint = `progress:${attempt.doneAtSince}`;
      }
      this.endAttempt(attempt, 'stopped');
    });
    return {isAccepted: true};
  }

  private throttleAttempt(name: AttemptName, cpuShare: number): CommandOutcome {
    const attempt = this.attempts.get(getAttemptKey(name));
    if (attempt?.state !== 'running') {
      return {isAccepted: false, reason: 'the attempt does not run'};
    }
    this.settleProgress(attempt);
    attempt.cpuShare = cpuShare;
    this.scheduleEnd(attempt);
    return {isAccepted: true};
  }

  private acknowledgeAttempt(name: AttemptName): CommandOutcome {
    const key = getAttemptKey(name);
    const attempt = this.attempts.get(key);
    if (attempt?.state === 'running') {
      return {isAccepted: false, reason: 'the attempt still runs'};
    }
    if (this.attempts.delete(key)) {
      const {taskId, attempt: number} = name;
      this.removedAttempts.push({taskId, attempt: number});
    }
    this.sentSignatures.delete(key);
    this.acknowledged.add(key);
    if (this.acknowledged.size > MAX_ACKNOWLEDGED) {
      const [oldest] = this.acknowledged;
      this.acknowledged.delete(oldest);
    }
    return {isAccepted: true};
  }

  private settleProgress(attempt: RunningAttempt): void {
    if (attempt.state !== 'running') return;
    const nowMs = this.clock.getMonotonicMs();
    const elapsedMs = nowMs - attempt.sinceMs;
    const {cores, expectedRunMs, kind} = attempt.start;
    attempt.sinceMs = nowMs;
    attempt.coreMs += elapsedMs * cores * attempt.cpuShare;
    if (kind === 'service') return;
    const done = (elapsedMs * attempt.cpuShare) / expectedRunMs;
    attempt.doneAtSince = Math.min(1, attempt.doneAtSince + done);
  }

  private addUsage(attempt: RunningAttempt): void {
    const {team, name, kind} = attempt.start;
    const key = `${team}/${kind}/${name}`;
    const known = this.usage.get(key);
    const isLost = attempt.state === 'failed';
    this.usage.set(key, {
      team,
      name,
      kind,
      coreMs: (known?.coreMs ?? 0) + attempt.coreMs,
      lostCoreMs: (known?.lostCoreMs ?? 0) + (isLost ? attempt.coreMs : 0),
    });
  }

  private getUsage(): OwnerUsage[] {
    const totals = new Map(this.usage);
    for (const attempt of this.attempts.values()) {
      if (attempt.state !== 'running') continue;
      this.settleProgress(attempt);
      const {team, name, kind} = attempt.start;
      const key = `${team}/${kind}/${name}`;
      const known = totals.get(key);
      totals.set(key, {
        team,
        name,
        kind,
        coreMs: (known?.coreMs ?? 0) + attempt.coreMs,
        lostCoreMs: known?.lostCoreMs ?? 0,
      });
    }
    return [...totals.values()];
  }

  private getStatus(request: LeaseRequest): WorkerStatus {
    const {scope, knownReport, withUsage} = request;
    const lease = this.leases[scope];
    const isTasks = scope === 'tasks';
    const isWholeReport =
      knownReport === undefined || knownReport !== this.reportNumber;
    if (isTasks) this.reportNumber++;
    return {
      workerId: this.workerId,
      bootId: this.bootId,
      epoch: lease.epoch,
      isLeaving: this.behavior.isLeaving,
      reportedAtMs: this.clock.getWallMs(),
      requestsInProgress: this.requestsInProgress,
      replicas: isTasks ? [] : this.getReplicas(),
      reportNumber: this.reportNumber,
      isWholeReport,
      removedAttempts: isTasks ? this.takeRemoved() : [],
      attempts: isTasks ? this.getReports(isWholeReport) : [],
      ...(isTasks && withUsage && {usage: this.getUsage()}),
      uptimeMs: this.clock.getMonotonicMs() - this.bootedAtMs,
      ...this.size,
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

  private takeRemoved(): AttemptName[] {
    return this.removedAttempts.splice(0);
  }

  /** Gets the attempts of which the holder should know something new. */
  private getReports(isWholeReport: boolean): AttemptReport[] {
    const reports: AttemptReport[] = [];
    for (const report of this.getAllReports()) {
      const key = getAttemptKey(report);
      const signature = getSignature(report);
      const isKnown = this.sentSignatures.get(key) === signature;
      if (isKnown && !isWholeReport && !isDisturbed(report)) continue;
      this.sentSignatures.set(key, signature);
      reports.push(report);
    }
    return reports;
  }

  private getAllReports(): AttemptReport[] {
    const slowdown = this.getServiceSlowdown();
    return [...this.attempts.values()].map(attempt => {
      this.settleProgress(attempt);
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
        progress: attempt.doneAtSince,
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
    this.leaseTimer = this.clock.setTimer(LEASE_CHECK_MS, () => {
      this.stopUnleasedAttempts();
      this.scheduleLeaseCheck();
    });
  }

  private stopUnleasedAttempts(): void {
    const lapsedMs = this.clock.getMonotonicMs() - this.lastTaskLeaseMs;
    if (lapsedMs < TASK_LEASE_MS) return;
    for (const attempt of this.attempts.values()) {
      if (attempt.state !== 'running') continue;
      this.settleProgress(attempt);
      if (attempt.start.kind === 'batch') {
        attempt.checkpoint = `progress:${attempt.doneAtSince}`;
      }
      this.endAttempt(attempt, 'stopped');
    }
  }
}

function createFreeLease(bootEpoch: number): ScopeLease {
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

function getAttemptKey(name: AttemptName): string {
  return `${name.taskId}#${name.attempt}`;
}

/** What of an attempt is worth a new report. */
function getSignature(report: AttemptReport): string {
  const {state, cpuShare, usedCores} = report;
  return `${state}/${cpuShare}/${usedCores.toFixed(1)}`;
}

/** A disturbed service is reported each time, as actions wait for new measurements. */
function isDisturbed(report: AttemptReport): boolean {
  return report.slowdown > REPORTED_SLOWDOWN;
}

function getCheckpointProgress(checkpoint: string | undefined): number {
  if (checkpoint === undefined) return 0;
  return Number(checkpoint.replace('progress:', ''));
}
