/**
 * Ranked entry instances for a client. Answers are made from this instance's own tables and never wait.
 */
import type { Result } from 'neverthrow'
import type { Configuration } from '../configuration.js'
import type { LookupAnswer, QueryError } from '../create-engine.js'
import type { World } from '../tables.js'
import { err, ok } from 'neverthrow'
import { isZoneDrained } from '../configuration/traffic.js'
import { hash32 } from '../hash.js'
import { clientOrigin } from './client-origin.js'

/** Clients may keep an answer this long. A planned stop waits for it. */
export const LOOKUP_TTL_MS = 5_000
/** More instances would not be tried within a client's deadline. */
export const MAX_LOOKUP_INSTANCES = 8

type Entry = LookupAnswer['instances'][number]

/** Same zone as the client, same region, elsewhere. */
type Tiers = readonly [Entry[], Entry[], Entry[]]

/** Errors: `no-configuration`, `unknown-service`. */
export function lookup (
  world: World, query: { readonly service: string, readonly client?: string }
): Result<LookupAnswer, QueryError> {
  const { configuration } = world
  if (configuration === undefined) return err({ reason: 'no-configuration' })
  if (!configuration.services.some(service => service.id === query.service)) return err({ reason: 'unknown-service' })
  const tiers = rank(world, configuration, query.service, clientOrigin(world, query.client).zone)
  const instances: Entry[] = []
  for (const tier of tiers) {
    if (tier.length === 0 || instances.length === MAX_LOOKUP_INSTANCES) continue
    // Tables differ in their order between instances, answers for a client should not.
    tier.sort((a, b) => (a.id < b.id ? -1 : 1))
    const offset = hash32(query.client ?? '') % tier.length
    for (let index = 0; index < tier.length && instances.length < MAX_LOOKUP_INSTANCES; index += 1) {
      const { id, zone, address } = tier[(index + offset) % tier.length] as Entry
      instances.push({ id, zone, address })
    }
  }
  return ok({ service: query.service, version: configuration.version, ttlMs: LOOKUP_TTL_MS, instances })
}

function rank (world: World, configuration: Configuration, service: string, zone: string): Tiers {
  const regions = new Map(configuration.zones.map(row => [row.id, row.region]))
  const region = regions.get(zone)
  const drained = new Set(configuration.drains.filter(drain => drain.kind === 'instance' &&
    (drain.service === undefined || drain.service === service)).map(drain => drain.target))
  const drainedZones = new Set(configuration.zones.map(row => row.id)
    .filter(id => isZoneDrained(configuration.drains, service, id)))
  const tiers: Tiers = [[], [], []]
  function place (entry: Entry): void {
    if (drained.has(entry.id) || drainedZones.has(entry.zone)) return
    if (entry.zone === zone) tiers[0].push(entry)
    else if (region !== undefined && regions.get(entry.zone) === region) tiers[1].push(entry)
    else tiers[2].push(entry)
  }
  if (world.stoppingSince === undefined) place(world.self)
  for (const instance of world.instances.values()) if (instance.state === 'live') place(instance)
  return tiers
}
