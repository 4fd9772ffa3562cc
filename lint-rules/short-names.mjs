/**
 * @file A lint rule: a name of one letter may live for a few lines only. In `xs.map((x) => x.id)` the reader sees where
 * `x` comes from; thirty lines on he has to search for it. ESLint's own `id-length` does not know how far a name reaches.
 */

/** Lines that the scope of a name of one letter may span. */
const DEFAULT_MAX_LINES = 3;

/** What the rule looks at: parameters, variables and caught errors. Type parameters (`T`) and imports are not. */
const NAMED_KINDS = new Set(['Parameter', 'Variable', 'CatchClause']);

/** @param {import('eslint').Scope.Scope} scope */
function linesOf({ block }) {
  return block.loc ? block.loc.end.line - block.loc.start.line + 1 : 0;
}

/**
 * Reports each parameter and variable of one letter whose function, block or loop spans more than `maxLines` lines.
 * `_` is free: it says that a value is not used.
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
        "'{{name}}' is known over {{lines}} lines; names of one letter may be over {{maxLines}} at most.",
    },
  },
  create(context) {
    const maxLines = context.options[0]?.maxLines ?? DEFAULT_MAX_LINES;

    /** @param {import('eslint').Scope.Scope} scope */
    function check(scope) {
      const lines = linesOf(scope);
      // An inner scope is never longer than the one around it, so there is nothing to find below a short one.
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
