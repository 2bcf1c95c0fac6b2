import {expect} from 'chai';
import {PeerKeySet} from '../src/peer_key_set.js';

const OLD_KEY = 'old-key-0123456789';
const NEW_KEY = 'new-key-0123456789';

describe('PeerKey', () => {
  describe('isAccepted', () => {
    function doTest(header: string | undefined, isAccepted: boolean): void {
      const key = PeerKeySet.create([NEW_KEY, OLD_KEY]);
      expect(key.isAccepted(header)).to.equal(isAccepted);
    }

    it('accepts the key that is sent', () => doTest(`Bearer ${NEW_KEY}`, true));
    it('accepts the previous key during a key rotation', () =>
      doTest(`Bearer ${OLD_KEY}`, true));
    it('rejects a wrong key', () => doTest('Bearer wrong', false));
    it('rejects a missing header', () => doTest(undefined, false));
    it('rejects another authentication scheme', () =>
      doTest(`Basic ${NEW_KEY}`, false));
  });
});
