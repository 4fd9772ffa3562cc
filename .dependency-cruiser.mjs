/**
 * @file Forbids import cycles between files, including those made by types alone. ESLint's plugins see only imports that
 * remain at run time, but files that depend on each other are hard to read even if only their types do. `LAYERS` in
 * eslint.config.mjs defines which folder may import which.
 *
 * @type {import('dependency-cruiser').IConfiguration}
 */
export default {
  forbidden: [
    {
      name: 'no-circular',
      comment: 'Move the code that both files need into a third one, or pass it as a parameter.',
      severity: 'error',
      from: {},
      to: { circular: true },
    },
  ],
  options: {
    doNotFollow: { path: 'node_modules' },
    // Reads the sources before the compiler removes types.
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.json' },
  },
};
