import {expect} from 'chai';
import {PeerKey} from '../src/peer_key.js';

const OLD_KEY = 'old-key-0123456789';
const NEW_KEY = 'new-key-0123456789';

describe('PeerKey', () => {
  describe('isAccepted', () => {
    function doTest(header: string | undefined, isAccepted: boolean): void {
      const key = PeerKey.create([NEW_KEY, OLD_KEY]);
      expect(key.isAccepted(header)).to.equal(isAccepted);
    }

    it('accepts the key that is sent', () => doTest(`Bearer ${NEW_KEY}`, true));
    it('accepts the former key during a rotation', () =>
      doTest(`Bearer ${OLD_KEY}`, true));
    it('refuses a wrong key', () => doTest('Bearer wrong', false));
    it('refuses a missing key', () => doTest(undefined, false));
    it('refuses another scheme', () => doTest(`Basic ${NEW_KEY}`, false));
  });
});
