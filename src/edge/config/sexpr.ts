/** @file Reads S-expressions; every mistake is a SettingsError with the line at which it stands. */
import { parse, type Node } from 'sexpr-plus';
import { SettingsError } from './settings-error.js';

/** The forms of a text; `name` stands for the text in messages. */
export function readForms(text: string, sourceName: string): Node[] {
  try {
    return parse(text);
  } catch (error) {
    throw new SettingsError(`${sourceName}: ${error instanceof Error ? error.message : String(error)}`, {
      cause: error,
    });
  }
}

/** Throws the error for a mistake at a form. */
export function failAt(node: Node, sourceName: string, reason: string): never {
  throw new SettingsError(`${sourceName}:${node.location.start.line}: ${reason}`);
}

/** The elements of a list. */
export const listOf = (node: Node, sourceName: string): Node[] =>
  node.type === 'list' ? node.content : failAt(node, sourceName, 'expected a list');

/** The text of an atom; if there is none, the error names the line of `parent`. */
export const atomOf = (node: Node | undefined, parent: Node, sourceName: string): string =>
  node !== undefined && node.type === 'atom'
    ? node.content
    : failAt(node ?? parent, sourceName, 'expected a name or a number');
