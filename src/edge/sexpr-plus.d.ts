/** @file Type declarations for the parts of the package sexpr-plus that are used here; it has none of its own. */
declare module 'sexpr-plus' {
  interface Position {
    readonly offset: number;
    readonly line: number;
    readonly column: number;
  }
  interface Located {
    readonly location: { readonly start: Position; readonly end: Position };
  }
  /** A parsed form with its position in the text. */
  export type Node = Located &
    (
      | { readonly type: 'list'; readonly content: Node[] }
      | { readonly type: 'atom'; readonly content: string }
      | { readonly type: 'string'; readonly content: string }
    );
  /** Parses all forms of a text. Throws at the first mistake. */
  export function parse(text: string): Node[];
}
