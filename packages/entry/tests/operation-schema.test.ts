import { expect, it } from 'vitest'
import { operation } from '../src/operation-schema.js'
import { SERVICE } from './real/support.js'

const accepts = (value: unknown): boolean => operation.safeParse(value).success

it('accepts only rows of the right shape, guarding against rows that make the engine throw', () => {
  expect(accepts({ table: 'services', put: SERVICE })).toBe(true)
  expect(accepts({ table: 'drains', put: { kind: 'upstream', target: '10.0.0.1:80' } })).toBe(true)
  expect(accepts({ table: 'regions', remove: 'zagreb' })).toBe(true)
  expect(accepts({ table: 'services', put: { id: 's' } })).toBe(false)
  expect(accepts({ table: 'drains', put: { kind: 'host', target: 'u1' } })).toBe(false)
  expect(accepts({ table: 'secrets', put: { id: 's' } })).toBe(false)
  expect(accepts({ table: 'regions', put: { id: 'a' }, remove: 'a' })).toBe(false)
  const error = operation.safeParse({ table: 'services', put: { ...SERVICE, slots: 0 } }).error
  expect(error?.issues.map(issue => issue.path.join('.'))).toEqual(['put.slots'])
})
