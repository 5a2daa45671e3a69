/**
 * Option values of one command line, read from its text. cac has checked the names, but its values aren't used, since it
 * converts texts that look like numbers (`007` becomes 7).
 */
import { parseDuration } from '../settings/units.js';
import { UsageError } from './cli-error.js';
import type { OptionSpec } from './command-spec.js';

export class ParsedOptions {
  readonly #specs: ReadonlyMap<string, OptionSpec>;
  readonly #tokens: readonly string[];

  /** `tokens` is the command line after the command's words. */
  constructor(specs: readonly OptionSpec[], tokens: readonly string[]) {
    this.#specs = new Map(specs.map((spec) => [spec.name, spec]));
    const end = tokens.indexOf('--');
    this.#tokens = end < 0 ? tokens : tokens.slice(0, end);
  }

  /** Returns all values given for an option, in order. */
  all(name: string): string[] {
    const flag = `--${name}`;
    const values: string[] = [];
    this.#tokens.forEach((token, index) => {
      if (token === flag) {
        values.push(this.#tokens[index + 1] ?? '');
      } else if (token.startsWith(`${flag}=`)) {
        values.push(token.slice(flag.length + 1));
      }
    });
    return values;
  }

  /** Returns the last value given. */
  text(name: string): string | undefined {
    return this.all(name).at(-1);
  }

  /** Returns a mandatory value. Throws `UsageError` if it is missing or empty. */
  required(name: string): string {
    const value = this.text(name);
    if (value === undefined || value === '') {
      throw new UsageError(`--${name} is missing`);
    }
    return value;
  }

  /** Returns values given as a repeated option, separated by commas, or both. */
  list(name: string): string[] {
    const items = this.all(name).flatMap((value) => value.split(','));
    return items.map((item) => item.trim()).filter((item) => item !== '');
  }

  /** Returns whether a switch is on. */
  on(name: string): boolean {
    let value = this.#specs.get(name)?.onByDefault ?? false;
    for (const token of this.#tokens) {
      if (token === `--${name}`) {
        value = true;
      } else if (token === `--no-${name}`) {
        value = false;
      }
    }
    return value;
  }

  /** Returns a duration in milliseconds. Throws `UsageError`. */
  duration(name: string): number | undefined {
    const text = this.text(name);
    if (text === undefined) {
      return undefined;
    }
    const result = parseDuration(text);
    if ('problem' in result) {
      throw new UsageError(`--${name}: ${result.problem}`);
    }
    return result.value;
  }

  /** Returns a whole number of 0 or more. Throws `UsageError`. */
  count(name: string): number | undefined {
    const text = this.text(name);
    if (text === undefined) {
      return undefined;
    }
    if (!/^\d{1,15}$/.test(text)) {
      throw new UsageError(`--${name}: ${JSON.stringify(text)} isn't a whole number`);
    }
    return Number(text);
  }

  /** Returns one of `words`. Throws `UsageError`. */
  choice<Word extends string>(name: string, words: readonly Word[], defaultWord: Word): Word {
    const text = this.text(name) ?? defaultWord;
    const word = words.find((candidate) => candidate === text);
    if (word === undefined) {
      throw new UsageError(`--${name}: ${JSON.stringify(text)} isn't one of ${words.join(', ')}`);
    }
    return word;
  }

  /** Returns the values by option name, for options that take one. */
  texts(): Readonly<Record<string, string | undefined>> {
    const names = [...this.#specs.values()].filter((spec) => spec.value !== undefined);
    return Object.fromEntries(names.map(({ name }) => [name, this.text(name)]));
  }
}
