import neostandard, { plugins } from 'neostandard'

export default [
  { ignores: ['**/dist/**', '**/gen/**', 'out/**', 'target/**', 'examples/**/out/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    plugins: { '@typescript-eslint': plugins['typescript-eslint'].plugin },
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports', fixStyle: 'separate-type-imports' }]
    }
  }
]
