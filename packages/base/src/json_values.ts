/** Bounds the number of values in JSON text without parsing it. */

const QUOTE = 0x22;
const COMMA = 0x2c;
const OPEN_BRACKET = 0x5b;
const BACKSLASH = 0x5c;
const OPEN_BRACE = 0x7b;

/** Minimum length of a value with the comma or bracket that belongs to it, in characters. */
const MIN_VALUE_LENGTH = 2;

/**
 * Checks whether JSON text has more values than a limit. Parsed values may take many
 * times the memory of their text. Counts elements and members by the brackets and commas
 * outside of strings, so that an empty array or object counts twice.
 * @param text - JSON text; any text is accepted.
 * @param maxValues - Maximum number of values.
 */
export function hasMoreJsonValues(text: string, maxValues: number): boolean {
  // A short text cannot have so many values. This spares the scan for ordinary texts.
  if (text.length <= maxValues * MIN_VALUE_LENGTH) return false;
  let count = 1;
  for (let index = 0; index < text.length; index++) {
    switch (text.charCodeAt(index)) {
      case QUOTE:
        index = findStringEnd(text, index);
        break;
      case COMMA:
      case OPEN_BRACKET:
      case OPEN_BRACE:
        if (++count > maxValues) return true;
        break;
      default:
    }
  }
  return false;
}

/** Finds the quote that ends a string; the length of the text if there is none. */
function findStringEnd(text: string, start: number): number {
  let end = text.indexOf('"', start + 1);
  while (end !== -1 && isEscaped(text, start, end))
    end = text.indexOf('"', end + 1);
  return end === -1 ? text.length : end;
}

/** Checks whether an odd number of backslashes precedes a character of a string. */
function isEscaped(text: string, start: number, index: number): boolean {
  let first = index;
  while (first - 1 > start && text.charCodeAt(first - 1) === BACKSLASH) first--;
  return (index - first) % 2 === 1;
}
