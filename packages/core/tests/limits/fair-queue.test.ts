import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createFairQueue } from '../../src/limits/fair-queue.js'

interface Item { readonly tenant: string, readonly number: number }

const TENANTS = ['a', 'b', 'c', 'd']
const operation = fc.oneof(
  { weight: 3, arbitrary: fc.record({ type: fc.constant('push' as const), tenant: fc.constantFrom(...TENANTS) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('shift' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('remove' as const), modulus: fc.integer({ min: 2, max: 5 }) }) }
)

describe('createFairQueue', () => {
  it('serves each waiting tenant once per round, in order and without loss, guarding against a tenant that is passed over', () => {
    fc.assert(fc.property(fc.array(operation, { maxLength: 200 }), fc.integer({ min: 1, max: 30 }), (operations, maxItems) => {
      const queue = createFairQueue<Item>(maxItems)
      const waiting = new Map<string, Item[]>(TENANTS.map(tenant => [tenant, []]))
      /** By tenant: items of each other tenant that were served since the tenant was served or got its first item. */
      const servedOthers = new Map<string, Map<string, number>>(TENANTS.map(tenant => [tenant, new Map()]))
      operations.forEach((step, number) => {
        if (step.type === 'push') {
          const item = { tenant: step.tenant, number }
          const items = waiting.get(step.tenant) as Item[]
          if (!queue.push(step.tenant, item)) return
          if (items.length === 0) servedOthers.get(step.tenant)?.clear()
          items.push(item)
        } else if (step.type === 'shift') {
          const next = queue.peek()
          expect(queue.shift()).toBe(next)
          if (next === undefined) return
          expect(waiting.get(next.tenant)?.shift()).toBe(next)
          servedOthers.get(next.tenant)?.clear()
          for (const [tenant, counts] of servedOthers) {
            if (tenant === next.tenant || waiting.get(tenant)?.length === 0) continue
            counts.set(next.tenant, (counts.get(next.tenant) ?? 0) + 1)
            expect(counts.get(next.tenant)).toBe(1)
          }
        } else {
          const matches = (item: Item): boolean => item.number % step.modulus === 0
          const removed = queue.remove(matches)
          const expected = [...waiting.values()].flat().filter(matches)
          expect(new Set(removed)).toEqual(new Set(expected))
          for (const [tenant, items] of waiting) waiting.set(tenant, items.filter(item => !matches(item)))
        }
        expect(queue.size).toBe([...waiting.values()].flat().length)
        expect(queue.size).toBeLessThanOrEqual(maxItems)
      })
    }))
  })

  it('keeps a place free for a second tenant, guarding against one tenant that fills the queue', () => {
    const queue = createFairQueue<number>(100)
    let accepted = 0
    while (queue.push('a', accepted)) accepted += 1
    expect(accepted).toBeGreaterThan(80)
    expect(queue.push('b', 0)).toBe(true)
    for (let count = 0; count < accepted + 1; count += 1) queue.shift()
    expect([queue.size, queue.shift()]).toEqual([0, undefined])
  })
})
