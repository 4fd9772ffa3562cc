/**
 * @file Cycles between files, those that only types make included: ESLint's plugins see imports that are left when the
 * program runs, and a file that can't be read without another is no easier to read when only their types are entangled.
 * Which folder may import which is in eslint.config.mjs (`LAYERS`).
 *
 * @type {import('dependency-cruiser').IConfiguration}
 */
export default {
  forbidden: [
    {
      name: 'no-circular',
      comment: 'Move what both files need into a third one, or hand it over as a parameter.',
      severity: 'error',
      from: {},
      to: { circular: true },
    },
  ],
  options: {
    doNotFollow: { path: 'node_modules' },
    // Reads the sources before types are taken out of them.
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.json' },
  },
};
