/** The baseline to beat: random choice of a holder, and three tries on any failure. */

import {Clock} from '@mustardlug/base/clock';
import {RandomSource} from '@mustardlug/base/random_source';
import {createWholeRequest, toCallerAnswer} from './request_coordinator.js';
import {
  CallerAnswer,
  CallerRequest,
  HolderNetwork,
  RequestRunner,
} from './request_runner.js';

/** Options of the baseline. */
export interface NaiveCoordinatorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly network: HolderNetwork;
}

const MAX_TRIES = 3;
const TRY_TIMEOUT_FRACTION = 1 / MAX_TRIES;
const SERVER_ERROR_STATUS = 500;

/** Retries without asking whether the first copy may still run. For comparisons only. */
export class NaiveCoordinator extends RequestRunner {
  private constructor(private readonly options: NaiveCoordinatorOptions) {
    super();
  }

  /**
   * Creates the baseline.
   * @param options - Clock, random numbers and network.
   */
  static create(options: NaiveCoordinatorOptions): NaiveCoordinator {
    return new NaiveCoordinator(options);
  }

  override async runRequest(request: CallerRequest): Promise<CallerAnswer> {
    const {clock, network} = this.options;
    const tryMs =
      (request.deadlineMs - clock.getMonotonicMs()) * TRY_TIMEOUT_FRACTION;
    let answer = toCallerAnswer({kind: 'not-run', reason: 'no holder'});
    for (let attempt = 1; attempt <= MAX_TRIES; attempt++) {
      const nodeId = this.chooseNode(request.service.name);
      if (nodeId === undefined) return answer;
      const whole = createWholeRequest(request, attempt, tryMs);
      answer = toCallerAnswer(await network.forward(nodeId, whole));
      const isGood =
        answer.outcome === 'ran' && answer.status < SERVER_ERROR_STATUS;
      if (isGood) return answer;
    }
    return answer;
  }

  private chooseNode(service: string): string | undefined {
    const candidates = this.options.network
      .getCandidates(service)
      .filter(candidate => candidate.load.slots > 0);
    if (candidates.length === 0) return undefined;
    return candidates[this.options.random.getIndex(candidates.length)].nodeId;
  }
}
