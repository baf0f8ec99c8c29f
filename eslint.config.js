import js from '@eslint/js';
import prettierConfig from 'eslint-config-prettier';
import simpleImportSort from 'eslint-plugin-simple-import-sort';
import unicorn from 'eslint-plugin-unicorn';
import tseslint from 'typescript-eslint';

/** Packages from the bottom layer to the top; each may import only those before it. */
const LAYERS = [
  'model',
  'decisions',
  'runtime',
  'config',
  'storage',
  'coordination',
  'links',
  'dispatch',
  'entry',
  'cli',
  'verification',
  'bench',
];

const layerRules = LAYERS.map((layer, position) => ({
  files: [`packages/${layer}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          ...LAYERS.slice(position).map(upper => ({
            group: [`@mustardferry/${upper}`],
            message: `${layer} must not import from the ${upper} layer.`,
          })),
          {
            group: ['@mustardferry/*/*'],
            message: 'Import a package by its public index only.',
          },
        ],
      },
    ],
  },
}));

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'target/**',
      '**/build/**',
      '**/out/**',
      'node_modules/**',
    ],
  },
  js.configs.recommended,
  ...tseslint.configs.recommended,
  prettierConfig,
  {
    plugins: {'simple-import-sort': simpleImportSort, unicorn},
    languageOptions: {
      globals: {process: 'readonly', console: 'readonly', Buffer: 'readonly'},
    },
    rules: {
      'block-scoped-var': 'error',
      eqeqeq: 'error',
      'no-var': 'error',
      'prefer-const': 'error',
      'prefer-arrow-callback': 'error',
      'simple-import-sort/imports': 'error',
      'simple-import-sort/exports': 'error',
      'unicorn/filename-case': ['error', {case: 'snakeCase'}],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      'max-lines': ['error', {max: 300}],
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    rules: {
      'max-lines-per-function': [
        'error',
        {max: 40, skipBlankLines: true, skipComments: true},
      ],
    },
  },
  {
    files: ['**/tests/**/*.ts'],
    rules: {'@typescript-eslint/no-unused-expressions': 'off'},
  },
  {
    files: ['**/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: {require: 'readonly', __filename: 'readonly'},
    },
    rules: {'@typescript-eslint/no-require-imports': 'off'},
  },
  {files: ['**/*.config.js'], rules: {'unicorn/filename-case': 'off'}},
  ...layerRules,
);
