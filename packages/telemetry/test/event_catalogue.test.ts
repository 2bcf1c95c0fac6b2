import {readFileSync} from 'node:fs';
import {resolve} from 'node:path';
import {expect} from 'chai';
import {EVENT_CATALOGUE} from '../src/event_catalogue.js';

const EVENTS_DOC_PATH = resolve(
  import.meta.dirname,
  '../../../../docs/EVENTS.md',
);

describe('EVENT_CATALOGUE', () => {
  it('gives each event a unique number', () => {
    const numbers = Object.values(EVENT_CATALOGUE).map(event => event.number);
    expect(new Set(numbers).size).to.equal(numbers.length);
  });

  it('matches the table in docs/EVENTS.md exactly', () => {
    const rows = readFileSync(EVENTS_DOC_PATH, 'utf8')
      .split('\n')
      .filter(line => /^\| \d+ /.test(line))
      .map(line =>
        line
          .split('|')
          .slice(1, 5)
          .map(cell => cell.trim()),
      );
    const expected = Object.entries(EVENT_CATALOGUE).map(([name, event]) => [
      String(event.number),
      `\`${name}\``,
      event.level,
      event.text,
    ]);
    expect(rows).to.deep.equal(expected);
  });
});
