/**
 * Checks of a whole configuration: every reference exists, every number is in range, no row occurs twice.
 */
import type { Configuration, ConfigurationRows, ConfigurationTable, Route } from '../configuration.js'
import type { Problem, ProblemCode } from './problem.js'
import { rowKey } from '../configuration.js'

export const CONFIGURATION_TABLES: readonly ConfigurationTable[] =
  ['regions', 'zones', 'services', 'places', 'rules', 'links', 'drains']

/** The separators of `rowKey` are not allowed, so that two rows never share a key. */
const ID = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/
/** Upstream and entry instance ids come from the platform, which may use an address. */
const TARGET = /^[\x21-\x7e]{1,255}$/
const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}$/
const MAX_DURATION_MS = 86_400_000

/** Problems of one row, without its table and key. */
type Found = readonly [ProblemCode, string]

interface Known {
  readonly regions: ReadonlySet<string>
  readonly zones: ReadonlySet<string>
  readonly services: ReadonlySet<string>
}

const CHECKS: { readonly [T in ConfigurationTable]: (row: ConfigurationRows[T], known: Known) => readonly Found[] } = {
  regions: row => id(row.id),
  zones: (row, known) => [
    ...id(row.id),
    ...reference('region', row.region, known.regions),
    ...whole('instances', row.instances, 1, 100_000)
  ],
  services: row => [
    ...id(row.id),
    ...whole('slots', row.slots, 1, 100_000),
    ...whole('connections', row.connections, 1, 1_000_000),
    ...whole('deadlineMs', row.deadlineMs, 1, MAX_DURATION_MS),
    ...whole('maxBodyBytes', row.maxBodyBytes, 0, Number.MAX_SAFE_INTEGER),
    ...whole('coldStartMs', row.coldStartMs, 0, MAX_DURATION_MS),
    ...text('refusalHeader', row.refusalHeader, TOKEN),
    ...row.routes.flatMap(route)
  ],
  places: (row, known) => hosted(row, known),
  rules: (row, known) => [
    ...reference('service', row.service, known.services),
    ...oneOf('scope', row.scope, ['zone', 'region']),
    ...fraction('shiftCap', row.shiftCap),
    ...fraction('longShare', row.longShare)
  ],
  links: (row, known) => [
    ...reference('from', row.from, known.regions),
    ...reference('to', row.to, known.regions),
    ...(row.from === row.to ? [['malformed', 'a link joins two different regions'] as const] : []),
    ...(row.mbitPerSecond > 0 && Number.isFinite(row.mbitPerSecond)
      ? []
      : [['out-of-range', `mbitPerSecond is ${row.mbitPerSecond}, expected a number above 0`] as const])
  ],
  drains: (row, known) => [
    ...oneOf('kind', row.kind, ['upstream', 'instance', 'zone']),
    ...(row.kind === 'zone' ? reference('target', row.target, known.zones) : text('target', row.target, TARGET)),
    ...(row.service === undefined ? [] : reference('service', row.service, known.services))
  ]
}

/** All problems of a configuration; empty if it is valid. */
export function checkRows (configuration: Configuration): readonly Problem[] {
  const known: Known = {
    regions: new Set(configuration.regions.map(row => row.id)),
    zones: new Set(configuration.zones.map(row => row.id)),
    services: new Set(configuration.services.map(row => row.id))
  }
  return CONFIGURATION_TABLES.flatMap(table => checkTable(configuration, table, known))
}

function checkTable<T extends ConfigurationTable> (configuration: Configuration, table: T, known: Known): readonly Problem[] {
  const seen = new Set<string>()
  const problems: Problem[] = []
  for (const row of configuration[table] as ReadonlyArray<ConfigurationRows[T]>) {
    const key = rowKey(table, row)
    if (seen.has(key)) problems.push({ code: 'duplicate-row', table, key, detail: 'the row occurs twice' })
    seen.add(key)
    for (const [code, detail] of CHECKS[table](row, known)) problems.push({ code, table, key, detail })
  }
  return problems
}

function route (row: Route): readonly Found[] {
  return [
    ...text('method of a route', row.method, TOKEN),
    ...(row.prefix.startsWith('/') ? [] : [['malformed', `prefix of a route is ${row.prefix}, expected a leading /`] as const]),
    ...oneOf('kind of a route', row.kind, ['repeatable', 'plain', 'protected']),
    ...oneOf('length of a route', row.length, ['short', 'long'])
  ]
}

function hosted (row: { service: string, zone: string }, known: Known): readonly Found[] {
  return [...reference('service', row.service, known.services), ...reference('zone', row.zone, known.zones)]
}

function id (value: string): readonly Found[] {
  return text('id', value, ID)
}

function text (name: string, value: string, format: RegExp): readonly Found[] {
  return format.test(value) ? [] : [['malformed', `${name} is ${JSON.stringify(value)}, expected ${format.source}`]]
}

function oneOf (name: string, value: string, allowed: readonly string[]): readonly Found[] {
  return allowed.includes(value) ? [] : [['malformed', `${name} is ${value}, expected ${allowed.join(' or ')}`]]
}

function reference (name: string, value: string, known: ReadonlySet<string>): readonly Found[] {
  return known.has(value) ? [] : [['unknown-reference', `${name} ${value} does not exist`]]
}

function whole (name: string, value: number, min: number, max: number): readonly Found[] {
  if (Number.isSafeInteger(value) && value >= min && value <= max) return []
  return [['out-of-range', `${name} is ${value}, expected a whole number from ${min} to ${max}`]]
}

function fraction (name: string, value: number): readonly Found[] {
  return value >= 0 && value <= 1 ? [] : [['out-of-range', `${name} is ${value}, expected 0 to 1`]]
}
