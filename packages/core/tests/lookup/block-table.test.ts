import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createBlockTableBuilder } from '../../src/lookup/block-table.js'

const PREFIX_BITS = 32

/** Blocks inside 10.0.0.0/24, so that nesting and neighbours are frequent. */
const blocks = fc.array(fc.record({ prefix: fc.integer({ min: 24, max: 32 }), host: fc.integer({ min: 0, max: 255 }) }), { maxLength: 30 })

describe('block table', () => {
  it('agrees with a scan for the longest prefix, guarding against wrong ranges around nested blocks', () => {
    fc.assert(fc.property(blocks, rows => {
      const builder = createBlockTableBuilder()
      const list = rows.map(({ prefix, host }, index) => {
        const size = 2 ** (PREFIX_BITS - prefix)
        const first = host - host % size
        expect(builder.add(`10.0.0.${first}/${prefix}`, { zone: `z${index}`, tenant: 't' })).toBe(true)
        return { first, size, zone: `z${index}` }
      })
      const table = builder.build()
      for (let host = 0; host < 256; host += 1) {
        const containing = list.filter(row => row.first <= host && host < row.first + row.size)
        const longest = containing.reduce<typeof list[number] | undefined>(
          (best, row) => (best === undefined || row.size < best.size ? row : best), undefined)
        expect(table.findOrigin(`10.0.0.${host}`)?.zone).toBe(longest?.zone)
      }
      expect(table.findOrigin('10.0.1.0')).toBeUndefined()
      expect(table.bytes).toBeLessThanOrEqual(table.ranges * 12)
    }))
  })

  it('finds addresses at the ends of the address space in both families, guarding against off-by-one ranges', () => {
    const builder = createBlockTableBuilder()
    const origin = (zone: string): { zone: string, tenant: string } => ({ zone, tenant: 't' })
    for (const [cidr, zone] of [['0.0.0.0/0', 'all'], ['255.255.255.255/32', 'last'], ['2001:db8::/32', 'six'], ['2001:db8:0:1::/64', 'net']]) {
      expect(builder.add(cidr as string, origin(zone as string))).toBe(true)
    }
    for (const bad of ['10.0.0.1/24', '10.0.0.0/33', '10.0.0/8', '2001:db8::1/128', 'x/1', '10.0.0.0']) {
      expect(builder.add(bad, origin('bad'))).toBe(false)
    }
    const table = builder.build()
    const found = ['0.0.0.0', '255.255.255.254', '255.255.255.255', '::ffff:10.1.1.1', '2001:db8::9', '2001:db8:0:1:5::1', '2001:db9::', 'no']
    expect(found.map(address => table.findOrigin(address)?.zone))
      .toEqual(['all', 'all', 'last', 'all', 'six', 'net', undefined, undefined])
  })
})
