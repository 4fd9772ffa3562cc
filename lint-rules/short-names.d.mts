import type { Rule } from 'eslint';

/** See short-names.mjs. */
export declare const shortNames: Rule.RuleModule;
