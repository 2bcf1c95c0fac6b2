import {
  createInvalidInputError,
  createUnavailableError,
  AppError,
} from '@mustardlug/base/errors';
import {VirtualClock} from '@mustardlug/base/virtual_clock';
import {expect} from 'chai';
import {err, ok, Result} from 'neverthrow';
import {
  INVALID_INPUT_TIMEOUT_MS,
  retryInvalidInput,
} from '../src/invalid_input_retry.js';

const INVALID = createInvalidInputError('settings.json', []);

describe(retryInvalidInput.name, () => {
  // Guards against a start that ends because a file is empty while it is rewritten.
  it('reads again until the input is valid', async () => {
    const clock = VirtualClock.create();
    const results: Array<Result<string, AppError>> = [
      err(INVALID),
      err(INVALID),
      ok('valid'),
    ];
    const reading = retryInvalidInput(clock, () => results.shift()!);
    await clock.advance(INVALID_INPUT_TIMEOUT_MS / 2);
    expect((await reading)._unsafeUnwrap()).to.equal('valid');
  });

  // Guards against a process that waits for ever instead of reporting its invalid settings.
  it('gives up on input that stays invalid', async () => {
    const clock = VirtualClock.create();
    const reading = retryInvalidInput(clock, () => err(INVALID));
    await clock.advance(2 * INVALID_INPUT_TIMEOUT_MS);
    expect((await reading)._unsafeUnwrapErr()).to.equal(INVALID);
  });

  // Guards against an error that becomes known late although reading again cannot help.
  it('returns other errors at once', async () => {
    const unavailable = createUnavailableError('the port is in use', false);
    const reading = retryInvalidInput(VirtualClock.create(), () =>
      err(unavailable),
    );
    expect((await reading)._unsafeUnwrapErr()).to.equal(unavailable);
  });

  // Guards against a process that was suspended meanwhile and gives up on the first read.
  it('reads once more after the time limit has passed', async () => {
    const clock = VirtualClock.create();
    const results: Array<Result<string, AppError>> = [
      err(INVALID),
      ok('valid'),
    ];
    const reading = retryInvalidInput(clock, () => results.shift()!);
    await clock.advance(10 * INVALID_INPUT_TIMEOUT_MS);
    expect((await reading)._unsafeUnwrap()).to.equal('valid');
  });
});
