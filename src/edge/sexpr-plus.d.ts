/** @file Types of the package sexpr-plus, which has none of its own: what of it is used here. */
declare module 'sexpr-plus' {
  interface Position {
    readonly offset: number;
    readonly line: number;
    readonly column: number;
  }
  interface Located {
    readonly location: { readonly start: Position; readonly end: Position };
  }
  /** A form as it was read, with its place in the text. */
  export type Node = Located &
    (
      | { readonly type: 'list'; readonly content: Node[] }
      | { readonly type: 'atom'; readonly content: string }
      | { readonly type: 'string'; readonly content: string }
    );
  /** Reads all forms of a text; throws at the first mistake. */
  export function parse(text: string): Node[];
}
