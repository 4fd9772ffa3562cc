/** @file Reading S-expressions, with the line of every mistake. */
import { parse, type Node } from 'sexpr-plus';
import { SettingsError } from './platform-settings.js';

/** The forms of a text. */
export function readForms(text: string, name: string): Node[] {
  try {
    return parse(text);
  } catch (e) {
    throw new SettingsError(`${name}: ${e instanceof Error ? e.message : String(e)}`);
  }
}

/** Tells of a mistake at a form. */
export function failAt(node: Node, name: string, reason: string): never {
  throw new SettingsError(`${name}:${node.location.start.line}: ${reason}`);
}

/** What a list holds. */
export const listOf = (node: Node, name: string): Node[] =>
  node.type === 'list' ? node.content : failAt(node, name, 'expected a list');

/** The text of an atom; `at` is the form to blame if there is none. */
export const atomOf = (node: Node | undefined, at: Node, name: string): string =>
  node !== undefined && node.type === 'atom'
    ? node.content
    : failAt(node ?? at, name, 'expected a name or a number');
