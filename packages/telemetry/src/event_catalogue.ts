/** Catalogue of numbered events. `docs/EVENTS.md` lists the same entries. */

export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** Definition of one type of event. */
export interface EventDefinition {
  /** Stable number; it is never reused for another meaning. */
  readonly number: number;
  readonly level: EventLevel;
  /** Description for operators, in one sentence. */
  readonly text: string;
}

/** All event definitions by name. */
export const EVENT_CATALOGUE = {
  'process-started': {
    number: 100,
    level: 'info',
    text: 'The process started and is listening.',
  },
  'process-draining': {
    number: 101,
    level: 'info',
    text: 'A graceful shutdown began; the process reports that it is not ready.',
  },
  'process-stopped': {
    number: 102,
    level: 'info',
    text: 'A graceful shutdown completed.',
  },
  'pause-detected': {
    number: 103,
    level: 'warn',
    text: 'The process was suspended for at least the validity period of a lease.',
  },
  'internal-error': {
    number: 104,
    level: 'error',
    text: 'Handling one input failed unexpectedly; the process continues with the others.',
  },
  'signal-received': {
    number: 105,
    level: 'info',
    text: 'The process received a signal; the detail gives its effect.',
  },
  'settings-read-again': {
    number: 106,
    level: 'info',
    text: 'The settings, key or certificate files were invalid at first, as while they are rewritten; the process uses what it read later.',
  },
  'peer-connected': {
    number: 200,
    level: 'info',
    text: 'A connection to a peer was opened.',
  },
  'peer-lost': {
    number: 201,
    level: 'warn',
    text: 'A connection to a peer was closed or timed out.',
  },
  'peer-key-refused': {
    number: 202,
    level: 'error',
    text: 'A connection or operator request with a missing or invalid key was rejected.',
  },
  'peer-message-invalid': {
    number: 203,
    level: 'error',
    text: 'A peer sent a malformed message; its connection was closed.',
  },
  'vm-list-failed': {
    number: 210,
    level: 'warn',
    text: 'Reading the VM list failed; the last list that was read stays in use.',
  },
  'worker-leaving': {
    number: 211,
    level: 'info',
    text: 'A worker is leaving and receives no new work.',
  },
  'lease-acquired': {
    number: 300,
    level: 'info',
    text: 'A worker granted its lease to this process.',
  },
  'lease-lost': {
    number: 301,
    level: 'warn',
    text: 'A worker lease expired or was acquired by another holder.',
  },
  'lease-released': {
    number: 302,
    level: 'info',
    text: 'This process released a worker lease.',
  },
  'request-answered': {
    number: 400,
    level: 'debug',
    text: 'A request completed with a response from an upstream.',
  },
  'request-refused': {
    number: 401,
    level: 'debug',
    text: 'A request was rejected and not executed.',
  },
  'request-unknown': {
    number: 402,
    level: 'warn',
    text: 'A request ended with an unknown outcome; it may have been executed.',
  },
  'request-dispatched': {
    number: 403,
    level: 'debug',
    text: 'A request was sent to an upstream.',
  },
  'upstream-silent': {
    number: 404,
    level: 'warn',
    text: 'An upstream connection made no progress; its connection pool was replaced.',
  },
  'upstream-set-aside': {
    number: 405,
    level: 'warn',
    text: 'An upstream was quarantined because of its failure rate and receives only probes.',
  },
  'upstream-restored': {
    number: 406,
    level: 'info',
    text: 'A probe of a quarantined upstream succeeded; the upstream is back in use.',
  },
  'document-in-force': {
    number: 500,
    level: 'info',
    text: 'A newer version of the environment document took effect on this node.',
  },
  'document-read-failed': {
    number: 501,
    level: 'warn',
    text: 'Reading the environment document failed; the last version that was read stays in effect.',
  },
  'domain-evacuated': {
    number: 510,
    level: 'info',
    text: 'An operator took a failure domain out of service; it gets no new requests and starts no tasks.',
  },
  'domain-restored': {
    number: 511,
    level: 'info',
    text: 'An operator put a failure domain back into service.',
  },
  'evacuations-read-failed': {
    number: 512,
    level: 'warn',
    text: 'Reading the evacuated failure domains fails; those that were read last stay in effect.',
  },
  'evacuations-read-recovered': {
    number: 513,
    level: 'info',
    text: 'The evacuated failure domains can be read again.',
  },
  'task-bound': {
    number: 600,
    level: 'info',
    text: 'An attempt of a task was bound to a worker.',
  },
  'task-started': {
    number: 601,
    level: 'info',
    text: 'A worker accepted the start of an attempt.',
  },
  'task-finished': {
    number: 602,
    level: 'info',
    text: 'The result of an attempt was committed.',
  },
  'task-evicted': {
    number: 603,
    level: 'warn',
    text: 'A batch attempt was checkpointed and evicted.',
  },
  'task-throttled': {
    number: 604,
    level: 'info',
    text: 'The CPU limit of a batch attempt was changed.',
  },
  'task-failed': {
    number: 605,
    level: 'warn',
    text: 'An attempt ended without a result.',
  },
  'task-cancelled': {
    number: 606,
    level: 'info',
    text: 'A task was cancelled.',
  },
  'job-infeasible': {
    number: 607,
    level: 'error',
    text: 'The requirements of a job can never be met; its tasks are not scheduled.',
  },
  'worker-set-aside': {
    number: 608,
    level: 'warn',
    text: 'A worker was quarantined because of failures or slow runs and receives only probes.',
  },
  'task-crashed-worker': {
    number: 609,
    level: 'warn',
    text: 'A worker crashed while it was starting an attempt; the task starts apart from others from now on.',
  },
  'task-crash-limit': {
    number: 610,
    level: 'error',
    text: 'Several workers crashed when they started a task; it failed and is not started again.',
  },
  'table-failed': {
    number: 700,
    level: 'warn',
    text: 'A call to the table service failed or timed out.',
  },
  'coordinator-elected': {
    number: 800,
    level: 'info',
    text: 'This node was elected coordinator for a new term.',
  },
  'coordinator-ended': {
    number: 801,
    level: 'info',
    text: 'This node resigned or lost the coordinator role.',
  },
  'coordinator-ready': {
    number: 802,
    level: 'info',
    text: 'The coordinator loaded all state, and at least 90 % of the workers acknowledged its term.',
  },
  'takeover-attempted': {
    number: 803,
    level: 'info',
    text: 'This node attempts to take the coordinator role; the detail names the holder that it counts as lost, the age of its status and the time limit.',
  },
  'store-lost': {
    number: 810,
    level: 'warn',
    text: 'The table service does not respond; data read from it may be stale.',
  },
  'store-regained': {
    number: 811,
    level: 'info',
    text: 'The table service responds again.',
  },
  'config-in-force': {
    number: 812,
    level: 'info',
    text: 'A newer version of the configuration took effect on this node.',
  },
  'config-invalid': {
    number: 813,
    level: 'error',
    text: 'A configuration could not be decoded; the previous one stays in effect.',
  },
  'worker-row-invalid': {
    number: 814,
    level: 'warn',
    text: 'The registration of a worker could not be decoded and is ignored.',
  },
  'row-invalid': {
    number: 816,
    level: 'error',
    text: "A row of the system's own tables could not be read; another writer may have written it. It is reported once.",
  },
  'job-held': {
    number: 817,
    level: 'error',
    text: 'The progress of a job could not be read; none of its tasks is started until it can be, or until the job is cancelled.',
  },
  'job-released': {
    number: 818,
    level: 'info',
    text: 'The rows of a job that had been held could be read; its tasks are started again.',
  },
  'progress-rejected': {
    number: 852,
    level: 'error',
    text: 'The store rejects the progress of a job. None of its tasks is started and none of its ends acknowledged until it is stored; other jobs go on.',
  },
  'progress-accepted': {
    number: 853,
    level: 'info',
    text: 'The progress of a job that the store had rejected was stored, or is no longer needed.',
  },
  'row-rejected': {
    number: 854,
    level: 'error',
    text: 'The store rejects a row that is not the progress of a job; the detail names its table and key.',
  },
  'commits-rejected': {
    number: 855,
    level: 'error',
    text: 'The store rejects all commits of this coordinator, also those without rows. If it accepts its heartbeat for 3 s meanwhile, the term ends.',
  },
  'settings-reloaded': {
    number: 815,
    level: 'info',
    text: 'The settings file was reloaded.',
  },
  'job-accepted': {
    number: 820,
    level: 'info',
    text: 'A job was stored, or the submission repeats a job that is already stored.',
  },
  'job-refused': {
    number: 821,
    level: 'warn',
    text: 'A job was rejected and will not run.',
  },
  'job-unknown': {
    number: 822,
    level: 'warn',
    text: 'A submission ended with an unknown outcome; the job may have been stored.',
  },
  'job-cancelled': {
    number: 823,
    level: 'info',
    text: 'The cancellation of a job was stored.',
  },
  'job-noticed': {
    number: 824,
    level: 'info',
    text: 'The coordinator read an accepted job from the job table.',
  },
  'job-ended': {
    number: 825,
    level: 'info',
    text: 'A job reached its final phase.',
  },
  'job-shown': {
    number: 826,
    level: 'debug',
    text: 'The phase of a job was returned to a caller.',
  },
  'run-started': {
    number: 830,
    level: 'debug',
    text: 'A start command for a run was sent to a worker.',
  },
  'run-ended': {
    number: 831,
    level: 'info',
    text: 'A worker reported a run that ended without success.',
  },
  'run-lost': {
    number: 832,
    level: 'warn',
    text: 'A run is known to have stopped, and no end was reported for it; the detail tells when the leases of its worker expire and what determines this time.',
  },
  'checkpoint-omitted': {
    number: 851,
    level: 'warn',
    text: 'A checkpoint is too large to be kept; the task would resume from an earlier one. It is reported once for each run.',
  },
  'start-refused': {
    number: 833,
    level: 'warn',
    text: 'A worker rejected the start of a run, which had no effect.',
  },
  'run-paced': {
    number: 834,
    level: 'info',
    text: 'The CPU limit of a run was changed.',
  },
  'run-done': {
    number: 837,
    level: 'debug',
    text: 'A worker reported a run that completed successfully.',
  },
  'step-placed': {
    number: 838,
    level: 'info',
    text: 'Pending tasks of a step were assigned to workers.',
  },
  'run-moved': {
    number: 839,
    level: 'info',
    text: 'A run was stopped on a leaving or slow worker so that it continues on another one, or a batch run was stopped to make room for an interrupted long-running task.',
  },
  'jobs-purged': {
    number: 840,
    level: 'info',
    text: 'Records of jobs past the retention period were deleted.',
  },
  'fleet-load': {
    number: 835,
    level: 'info',
    text: "Number of cores that are free, in use or waited for, by kind of work; calls, and the coordinator's own delay and work, since the previous one.",
  },
  'worker-restarted': {
    number: 841,
    level: 'warn',
    text: 'A report came from another process of a worker than the one before; the detail tells how long its leases may last.',
  },
  'term-accepted': {
    number: 856,
    level: 'info',
    text: 'A worker responded for the first time in a term; the detail tells when its leases expire, and whether the response shortened the wait for those of earlier terms.',
  },
  'run-process-changed': {
    number: 857,
    level: 'warn',
    text: 'A worker process lists a run that was placed on another one, whose start command it executed.',
  },
  'start-on-other-clock': {
    number: 858,
    level: 'warn',
    text: 'The response to a start command shows an earlier time than the worker has reported, so that another process has executed it.',
  },
  'run-unknown': {
    number: 842,
    level: 'warn',
    text: 'A worker reported a run that is not assigned to it.',
  },
  'command-unanswered': {
    number: 843,
    level: 'debug',
    text: 'A worker did not respond to a start or stop command, which may still take effect.',
  },
  'state-restored': {
    number: 844,
    level: 'info',
    text: 'A coordinator read the stored jobs and their progress at the start of its term.',
  },
  'start-crashed': {
    number: 845,
    level: 'warn',
    text: 'A worker was lost when it had just started a run, which may be the cause.',
  },
  'start-crash-withdrawn': {
    number: 850,
    level: 'info',
    text: 'A worker that was taken for crashed at the start of a run responded again, from the same process.',
  },
  'task-given-up': {
    number: 846,
    level: 'error',
    text: 'A task was given up and its job failed, because workers crashed when they started it.',
  },
  'step-waiting': {
    number: 847,
    level: 'info',
    text: 'A step has had waiting tasks for several seconds; the detail counts the workers of its service by the reason that excludes them.',
  },
  'runs-awaited': {
    number: 848,
    level: 'warn',
    text: 'A worker with runs does not respond or is not registered; their tasks are not started again before the runs are given up.',
  },
  'worker-forgotten': {
    number: 849,
    level: 'info',
    text: 'The session of a lost worker ended: it is not registered, and its leases have expired.',
  },
  'evacuation-in-force': {
    number: 860,
    level: 'warn',
    text: 'A failure domain is evacuated: no task is started there until the row of the evacuation is removed.',
  },
  'evacuation-ended': {
    number: 861,
    level: 'info',
    text: 'The row of an evacuation was removed; tasks are started in the failure domain again.',
  },
  'evacuation-invalid': {
    number: 862,
    level: 'error',
    text: 'The key of an evacuation names no valid failure domain; the row is ignored. It is reported once for each key.',
  },
  'evacuation-applied': {
    number: 863,
    level: 'info',
    text: 'The coordinator takes an evacuation into account; the detail counts the registered workers of the failure domain, which are none if its name is wrong.',
  },
  'evacuations-unknown': {
    number: 864,
    level: 'warn',
    text: 'The evacuations were read too long ago; the coordinator starts no task until they are read again.',
  },
  'evacuations-known': {
    number: 865,
    level: 'info',
    text: 'The evacuations were read again; the coordinator starts tasks.',
  },
  'start-withheld': {
    number: 866,
    level: 'info',
    text: 'The start of a run was not sent because the failure domain of its worker is evacuated; its task is placed elsewhere.',
  },
  'worker-restored': {
    number: 836,
    level: 'info',
    text: 'A quarantined worker recovered and is back in use.',
  },
  'long-running-held': {
    number: 870,
    level: 'info',
    text: 'Long-running tasks that have never run wait although they would fit, because room is kept for batch work of the highest priority; the detail tells how much that work has needed lately.',
  },
  'long-running-admitted': {
    number: 871,
    level: 'info',
    text: 'No long-running task is held back for batch work any more.',
  },
  'client-refused': {
    number: 880,
    level: 'warn',
    text: 'Clients exceeded a limit of a listener; their requests were refused or their connections closed. At most one line a second for each port and reason.',
  },
  'job-limit-changed': {
    number: 872,
    level: 'info',
    text: 'A queue that is short of room limits the work per job, or does so no longer; the detail tells how much of it waits, for how long, and how much is placed.',
  },
  'run-preempted': {
    number: 873,
    level: 'info',
    text: 'A batch run with a checkpoint was stopped for a step of higher priority that would miss its objective otherwise.',
  },
  'forwarded-request-refused': {
    number: 890,
    level: 'warn',
    text: 'Requests that other entries forwarded were refused before their bodies were received, as these take all memory for them. At most one line a second.',
  },
} as const satisfies Record<string, EventDefinition>;

export type EventName = keyof typeof EVENT_CATALOGUE;
