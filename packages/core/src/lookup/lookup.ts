/**
 * Ranked entry instances for a client. Answers are made from this instance's own tables and never wait. The live
 * instances are indexed by zone, because at thousands of instances a scan for each look-up takes milliseconds.
 */
import type { Result } from 'neverthrow'
import type { Configuration, Drain } from '../configuration.js'
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
/** An answer may miss changes of this age, which is short against the time for which clients keep it. */
export const INDEX_LIFETIME_MS = 200

type Entry = LookupAnswer['instances'][number]

/** What a client asks for. */
export interface LookupQuery {
  readonly service: string
  /** Client address. */
  readonly client?: string
}

/** Answers a look-up. Errors: `no-configuration`, `unknown-service`. */
export type Lookup = (query: LookupQuery, now: number) => Result<LookupAnswer, QueryError>

/** Live instances by zone, in order of their ids, and the zones by region. */
interface Index {
  readonly configuration: Configuration
  readonly isStopping: boolean
  readonly builtAt: number
  readonly byZone: ReadonlyMap<string, readonly Entry[]>
  readonly zonesByRegion: ReadonlyMap<string, readonly string[]>
  readonly regionByZone: ReadonlyMap<string, string>
  readonly zones: readonly string[]
}

/** Creates the look-up over a world's tables. */
export function createLookup (world: World): Lookup {
  let index: Index | undefined

  function currentIndex (configuration: Configuration, now: number): Index {
    const isStopping = world.stoppingSince !== undefined
    if (index === undefined || index.configuration !== configuration || index.isStopping !== isStopping ||
      now - index.builtAt >= INDEX_LIFETIME_MS) index = buildIndex(world, configuration, isStopping, now)
    return index
  }

  return (query, now) => {
    const { configuration } = world
    if (configuration === undefined) return err({ reason: 'no-configuration' })
    if (!configuration.services.some(service => service.id === query.service)) return err({ reason: 'unknown-service' })
    const zone = clientOrigin(world, query.client).zone
    const instances = rank(currentIndex(configuration, now), query, zone)
    return ok({ service: query.service, version: configuration.version, ttlMs: LOOKUP_TTL_MS, instances })
  }
}

function buildIndex (world: World, configuration: Configuration, isStopping: boolean, now: number): Index {
  const byZone = new Map<string, Entry[]>()
  function add ({ id, zone, address }: Entry): void {
    const entries = byZone.get(zone)
    if (entries === undefined) byZone.set(zone, [{ id, zone, address }])
    else entries.push({ id, zone, address })
  }
  if (!isStopping) add(world.self)
  for (const instance of world.instances.values()) if (instance.state === 'live') add(instance)
  // Tables differ in their order between instances, answers for a client should not.
  for (const entries of byZone.values()) entries.sort((a, b) => (a.id < b.id ? -1 : 1))
  const zonesByRegion = new Map<string, string[]>()
  for (const { id, region } of configuration.zones) zonesByRegion.set(region, [...zonesByRegion.get(region) ?? [], id])
  return {
    configuration,
    isStopping,
    builtAt: now,
    byZone,
    zonesByRegion,
    regionByZone: new Map(configuration.zones.map(row => [row.id, row.region])),
    zones: [...byZone.keys()].sort()
  }
}

/** Same zone as the client, then the same region, then elsewhere, each begun at a place that the client decides. */
function rank (index: Index, query: LookupQuery, zone: string): readonly Entry[] {
  const offset = hash32(query.client ?? '')
  const region = index.regionByZone.get(zone)
  const siblings = (region === undefined ? [] : index.zonesByRegion.get(region) ?? []).filter(id => id !== zone)
  const far = index.zones.filter(id => id !== zone && !siblings.includes(id))
  const { drains } = index.configuration
  const chosen: Entry[] = []
  for (const tier of [[zone], siblings, rotate(far, offset)]) {
    if (chosen.length === MAX_LOOKUP_INSTANCES) break
    const entries = collect(index, tier, query.service, drains)
    for (const entry of rotate(entries, offset).slice(0, MAX_LOOKUP_INSTANCES - chosen.length)) chosen.push(entry)
  }
  return chosen
}

/** Instances of the zones that take new work, from as few zones as fill an answer but from all of a short list. */
function collect (index: Index, zones: readonly string[], service: string, drains: readonly Drain[]): readonly Entry[] {
  const entries: Entry[] = []
  for (const zone of zones) {
    if (entries.length >= MAX_LOOKUP_INSTANCES) break
    if (drains.length > 0 && isZoneDrained(drains, service, zone)) continue
    for (const entry of index.byZone.get(zone) ?? []) if (!isInstanceDrained(drains, service, entry.id)) entries.push(entry)
  }
  return entries
}

function isInstanceDrained (drains: readonly Drain[], service: string, id: string): boolean {
  return drains.some(drain => drain.kind === 'instance' && drain.target === id &&
    (drain.service === undefined || drain.service === service))
}

function rotate<T> (items: readonly T[], offset: number): readonly T[] {
  if (items.length < 2) return items
  const start = offset % items.length
  return [...items.slice(start), ...items.slice(0, start)]
}
