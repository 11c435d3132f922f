/**
 * Server process of the benchmark: an entry instance with one upstream and a given number of client blocks. Arguments:
 * upstream address, number of client blocks.
 */
import { EMPTY_CONFIGURATION, createBlockTableBuilder } from '@arbutustray/core'
import type { BlockTable, Configuration } from '@arbutustray/core'
import { startEntryInstance } from '@arbutustray/entry'
import { entrySettingsSchema } from '@arbutustray/settings'
import { reportReady } from './child.js'

const [upstream = '', blocks = '0'] = process.argv.slice(2)

const ZONE_COUNT = 80

const CONFIGURATION: Configuration = {
  ...EMPTY_CONFIGURATION,
  version: 1,
  regions: [{ id: 'r' }],
  zones: Array.from({ length: ZONE_COUNT }, (_, index) => ({ id: `z${index}`, region: 'r', instances: 1 })),
  services: [{
    id: 's',
    // More slots than concurrent requests, so that none is queued.
    slots: 1_000,
    connections: 1_000,
    deadlineMs: 10_000,
    maxBodyBytes: 1_048_576,
    refusalHeader: 'x-load-shed',
    coldStartMs: 0,
    routes: [{ method: 'GET', prefix: '/', kind: 'plain', length: 'short' }]
  }],
  places: [{ service: 's', zone: 'z0' }],
  rules: [{ service: 's', scope: 'zone', shiftCap: 0.2, longShare: 0.5 }]
}

/** Builds consecutive blocks of 16 addresses from 10.0.0.0 on. Neighbouring blocks differ in zone and tenant. */
function buildBlocks (count: number): BlockTable {
  const builder = createBlockTableBuilder()
  for (let index = 0; index < count; index += 1) {
    const start = index * 16
    const address = `${10 + (start >>> 24)}.${(start >>> 16) & 255}.${(start >>> 8) & 255}.${start & 255}`
    builder.add(`${address}/28`, { zone: `z${index % ZONE_COUNT}`, tenant: `t${index % 7}` })
  }
  return builder.build()
}

const entry = await startEntryInstance(entrySettingsSchema.parse({
  instanceId: 'i1',
  zone: 'z0',
  callerAddress: '127.0.0.1:0',
  operatorAddress: '127.0.0.1:0',
  peerAddress: '127.0.0.1:0',
  // Nothing listens at this address; an entry instance serves requests without the platform.
  platformUrl: 'http://127.0.0.1:9',
  peerToken: 'p',
  operatorToken: 'o',
  logLevel: 'error'
}))
entry.emit({ type: 'configuration-received', configuration: CONFIGURATION, source: 'platform' })
entry.emit({
  type: 'list-received',
  entries: [{ id: 'u1', role: 'upstream', service: 's', zone: 'z0', address: upstream, state: 'live' }]
})
const table = buildBlocks(Number(blocks))
entry.engine.world.clientBlocks = table
reportReady({
  address: entry.addresses.caller,
  ...(table.size === 0 ? {} : { bytesPerClientBlock: table.bytes / table.size })
})
