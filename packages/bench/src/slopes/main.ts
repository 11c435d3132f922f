/**
 * `npm run bench:slopes`: prints the costs of state against its size as JSON.
 */
import { measureBlocks, measurePeers, measureSites } from './slopes.js'

const { costs, table } = measureBlocks()
process.stdout.write(`${JSON.stringify({ blocks: costs, sites: measureSites(), peers: measurePeers(table) }, undefined, 2)}\n`)
