import {expect} from 'chai';
import {z} from 'zod';
import {parseJson} from '../src/json_reader.js';

const schema = z.strictObject({
  port: z.number().int().max(65_535),
  peers: z.array(z.strictObject({host: z.string()})),
});

describe('json_reader', () => {
  describe('parseJson', () => {
    function doTest(text: string, path: string, expected: RegExp): void {
      const problems = parseJson('settings', schema, text).match(
        () => [],
        error => [...error.problems],
      );
      const problem = problems.find(candidate => candidate.path === path);
      expect(problem?.expected).to.match(expected);
      expect(problem?.remedy).to.not.equal('');
    }

    it('reports the path of a value of the wrong type', () =>
      doTest('{"port": "x", "peers": []}', 'port', /expected number/));

    it('reports the path of a value inside an array', () =>
      doTest('{"port": 1, "peers": [{"host": 5}]}', 'peers.0.host', /string/));

    it('reports an unknown field', () =>
      doTest('{"port": 1, "peers": [], "x": 1}', '(top level)', /"x"/));

    it('reports a value that is too large', () =>
      doTest('{"port": 70000, "peers": []}', 'port', /<=65535/));

    it('reports invalid JSON', () =>
      doTest('{port', '(whole file)', /expected JSON/));
  });
});
