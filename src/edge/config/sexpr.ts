/**
 * @file Parses S-expressions. Every mistake throws a SettingsError, with its line unless it is a mistake in the syntax.
 */
import { parse, type Node } from 'sexpr-plus';
import { SettingsError } from './settings-error.js';

/**
 * Parses a text into its forms; `sourceName` names the text in error messages. Throws a SettingsError, without the
 * line, for a mistake in the syntax.
 */
export function readForms(text: string, sourceName: string): Node[] {
  try {
    return parse(text);
  } catch (error) {
    throw new SettingsError(`${sourceName}: ${error instanceof Error ? error.message : String(error)}`, {
      cause: error,
    });
  }
}

/** Throws the error for a mistake at `node`, with its line. */
export function failAt(node: Node, sourceName: string, reason: string): never {
  throw new SettingsError(`${sourceName}:${node.location.start.line}: ${reason}`);
}

/** Returns the elements of a list. Throws if `node` is not a list. */
export const listOf = (node: Node, sourceName: string): Node[] =>
  node.type === 'list' ? node.content : failAt(node, sourceName, 'expected a list');

/**
 * Returns the text of an atom. Throws if `node` is missing or not an atom; if it is missing, the error has the line of
 * `parent`.
 */
export const atomOf = (node: Node | undefined, parent: Node, sourceName: string): string =>
  node !== undefined && node.type === 'atom'
    ? node.content
    : failAt(node ?? parent, sourceName, 'expected a name or a number');
