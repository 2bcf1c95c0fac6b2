/**
 * Baseline for experiments: random choice of the holder, and up to three
 * attempts on any failure.
 */

import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {createForwardedRequest, toCallerAnswer} from './request_coordinator.js';
import {
  CallerAnswer,
  CallerRequest,
  HolderNetwork,
  RequestRunner,
} from './request_runner.js';

export interface NaiveCoordinatorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly network: HolderNetwork;
}

const MAX_ATTEMPTS = 3;
const ATTEMPT_TIMEOUT_FRACTION = 1 / MAX_ATTEMPTS;
const SERVER_ERROR_STATUS = 500;

/**
 * Retries even if an earlier attempt may still be running, so a request can run more than once.
 * For comparison with `RequestCoordinator` only.
 */
export class NaiveCoordinator extends RequestRunner {
  private constructor(private readonly options: NaiveCoordinatorOptions) {
    super();
  }

  static create(options: NaiveCoordinatorOptions): NaiveCoordinator {
    return new NaiveCoordinator(options);
  }

  override async runRequest(request: CallerRequest): Promise<CallerAnswer> {
    const {clock, network} = this.options;
    const attemptTimeoutMs =
      (request.deadlineMs - clock.getMonotonicMs()) * ATTEMPT_TIMEOUT_FRACTION;
    let answer = toCallerAnswer({
      kind: 'not-run',
      reason: 'no lease holder with slots is known for the service',
    });
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const nodeId = this.chooseHolderId(request.service.name);
      if (nodeId === undefined) return answer;
      const forwardedRequest = createForwardedRequest(
        request,
        attempt,
        attemptTimeoutMs,
      );
      answer = toCallerAnswer(await network.forward(nodeId, forwardedRequest));
      const isSuccess =
        answer.outcome === 'ran' && answer.status < SERVER_ERROR_STATUS;
      if (isSuccess) return answer;
    }
    return answer;
  }

  private chooseHolderId(service: string): string | undefined {
    const candidates = this.options.network
      .getCandidates(service)
      .filter(candidate => candidate.load.slots > 0);
    if (candidates.length === 0) return undefined;
    return candidates[this.options.random.getIndex(candidates.length)].nodeId;
  }
}
