/**
 * Measures look-ups with the client blocks of the design size: time and memory of the table's build, look-ups per
 * second on one core, and the size of the table. Run: `node --expose-gc packages/bench/dist/lookup-benchmark.js`.
 */
import type { Configuration, Instance, World } from '@arbutustray/core'
import { createBlockTableBuilder, createWorld, EMPTY_CONFIGURATION, lookup } from '@arbutustray/core'

const BLOCKS = 860_000
const REGIONS = 20
const ZONES = 80
const TENANTS = 50
const LOOKUPS = 200_000
const BYTES_PER_MB = 1024 * 1024
/** Knuth's multiplicative constant: spreads successive numbers over 32 bits without repeating one. */
const SPREAD = 2_654_435_761

function address (value: number): string {
  return [24, 16, 8, 0].map(shift => (value >>> shift) & 0xff).join('.')
}

/** Of the blocks, 6 in 7 are spread /24 blocks and 1 in 7 is a /28 nested in the one before. */
function addBlocks (add: (cidr: string, origin: { zone: string, tenant: string }) => boolean): void {
  let previous = 0
  for (let index = 0; index < BLOCKS; index += 1) {
    const isNested = index % 7 === 6
    const first = isNested ? previous : (Math.imul(index, SPREAD) & 0xffffff00) >>> 0
    previous = first
    const origin = { zone: `z${index % ZONES}`, tenant: `t${index % TENANTS}` }
    if (!add(`${address(isNested ? first + 32 : first)}/${isNested ? 28 : 24}`, origin)) throw new Error(`block ${index} was refused`)
  }
}

function memory (): number {
  globalThis.gc?.()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return (heapUsed + arrayBuffers) / BYTES_PER_MB
}

function createBenchWorld (instances: number): World {
  const zones = Array.from({ length: ZONES }, (_, index) => ({ id: `z${index}`, region: `r${index % REGIONS}`, instances: 46 }))
  const service = {
    id: 's', slots: 9, connections: 400, deadlineMs: 1_000, maxBodyBytes: 0, refusalHeader: 'x', coldStartMs: 0, routes: []
  }
  const configuration: Configuration = { ...EMPTY_CONFIGURATION, version: 1, zones, services: [service] }
  const self = { id: 'i0', zone: 'z0', address: 'a', peerAddress: 'p', incarnation: 'x' }
  const world = createWorld(self)
  world.configuration = configuration
  for (let index = 1; index < instances; index += 1) {
    const row: Instance = {
      ...self, id: `i${index}`, zone: `z${index % ZONES}`, state: 'live', heardAt: 0, configurationVersion: 1, headroom: new Map(), headroomAt: 0
    }
    world.instances.set(row.id, row)
  }
  return world
}

function measureLookups (world: World): number {
  const startedAt = performance.now()
  for (let index = 0; index < LOOKUPS; index += 1) {
    const answer = lookup(world, { service: 's', client: address(Math.imul(index, SPREAD) >>> 0) })
    if (answer.isErr()) throw new Error(answer.error.reason)
  }
  return LOOKUPS / (performance.now() - startedAt) * 1_000
}

const before = memory()
const startedAt = performance.now()
const builder = createBlockTableBuilder()
addBlocks(builder.add)
const addedAt = performance.now()
const table = builder.build()
const builtAt = performance.now()
const peakRss = process.resourceUsage().maxRSS / 1024
console.log(`blocks ${table.size}, ranges ${table.ranges}, table ${(table.bytes / BYTES_PER_MB).toFixed(1)} MB`)
console.log(`adding ${(addedAt - startedAt).toFixed(0)} ms, build ${(builtAt - addedAt).toFixed(0)} ms`)
console.log(`peak resident set ${peakRss.toFixed(0)} MB, heap and arrays kept ${(memory() - before).toFixed(1)} MB`)
for (const instances of [7, 46, 3_700]) {
  const world = createBenchWorld(instances)
  world.clientBlocks = table
  console.log(`${instances} instances: ${measureLookups(world).toFixed(0)} look-ups per second on one core`)
}
