/**
 * @file A lint rule that allows names of one letter only in scopes of a few lines. In `xs.map((x) => x.id)` the reader
 * sees where `x` comes from. Thirty lines further down, the reader has to search for it. ESLint's own rule `id-length`
 * does not consider the size of the scope.
 */

/** Maximum number of lines in the scope of a name of one letter. */
const DEFAULT_MAX_LINES = 3;

/** The kinds of names that the rule checks. It ignores type parameters (`T`) and imports. */
const NAMED_KINDS = new Set(['Parameter', 'Variable', 'CatchClause']);

/** @param {import('eslint').Scope.Scope} scope */
function linesOf({ block }) {
  return block.loc ? block.loc.end.line - block.loc.start.line + 1 : 0;
}

/**
 * Reports each parameter, variable and caught error of one letter whose scope (module, function, block or loop) spans
 * more than `maxLines` lines. `_` is always allowed, because it marks an unused value.
 *
 * @type {import('eslint').Rule.RuleModule}
 */
export const shortNames = {
  meta: {
    type: 'suggestion',
    docs: { description: 'allow names of one letter in scopes of a few lines only' },
    schema: [
      {
        type: 'object',
        properties: { maxLines: { type: 'integer', minimum: 1 } },
        additionalProperties: false,
      },
    ],
    messages: {
      tooShort:
        "The scope of '{{name}}' spans {{lines}} lines; a name of one letter may span {{maxLines}} at most.",
    },
  },
  create(context) {
    const maxLines = context.options[0]?.maxLines ?? DEFAULT_MAX_LINES;

    /** @param {import('eslint').Scope.Scope} scope */
    function check(scope) {
      const lines = linesOf(scope);
      // An inner scope is never longer than its outer one, so the scopes within a short one need no check.
      if (lines <= maxLines) return;
      for (const { name, defs } of scope.variables) {
        const definition = defs[0];
        if (name.length !== 1 || name === '_' || !definition || !NAMED_KINDS.has(definition.type)) continue;
        context.report({
          node: definition.name,
          messageId: 'tooShort',
          data: { name, lines: String(lines), maxLines: String(maxLines) },
        });
      }
      for (const inner of scope.childScopes) check(inner);
    }

    return {
      Program(program) {
        check(context.sourceCode.getScope(program));
      },
    };
  },
};
