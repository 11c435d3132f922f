/**
 * Validates a whole configuration: texts have the right format, numbers are in range, references exist, and no row
 * occurs twice.
 */
import type { Configuration, ConfigurationRows, ConfigurationTable, Route } from '../configuration.js'
import type { ConfigurationProblem, ConfigurationProblemCode } from './problem.js'
import { rowKey } from '../configuration.js'

export const CONFIGURATION_TABLES: readonly ConfigurationTable[] =
  ['regions', 'zones', 'services', 'places', 'rules', 'links', 'drains']

/** Excludes the separators that `rowKey` uses, so that different rows never have the same key. */
const ID_FORMAT = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/
/** More permissive than `ID_FORMAT`, because the platform assigns the ids of instances and may use addresses. */
const DRAIN_TARGET_FORMAT = /^[\x21-\x7e]{1,255}$/
const HTTP_TOKEN_FORMAT = /^[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}$/
const MAX_DURATION_MS = 86_400_000

/** Code and detail of a problem; the table and key are added by `checkTable`. */
type RowProblem = readonly [ConfigurationProblemCode, string]

/** The ids that rows of other tables may reference. */
interface ReferencedIds {
  readonly regions: ReadonlySet<string>
  readonly zones: ReadonlySet<string>
  readonly services: ReadonlySet<string>
}

const ROW_CHECKS: { readonly [T in ConfigurationTable]: (row: ConfigurationRows[T], known: ReferencedIds) => readonly RowProblem[] } = {
  regions: row => checkId(row.id),
  zones: (row, known) => [
    ...checkId(row.id),
    ...checkReference('region', row.region, known.regions),
    ...checkInteger('instances', row.instances, 1, 100_000)
  ],
  services: row => [
    ...checkId(row.id),
    ...checkInteger('slots', row.slots, 1, 100_000),
    ...checkInteger('connections', row.connections, 1, 1_000_000),
    ...checkInteger('deadlineMs', row.deadlineMs, 1, MAX_DURATION_MS),
    ...checkInteger('maxBodyBytes', row.maxBodyBytes, 0, Number.MAX_SAFE_INTEGER),
    ...checkInteger('coldStartMs', row.coldStartMs, 0, MAX_DURATION_MS),
    ...checkFormat('refusalHeader', row.refusalHeader, HTTP_TOKEN_FORMAT),
    ...row.routes.flatMap(checkRoute)
  ],
  places: (row, known) => checkPlace(row, known),
  rules: (row, known) => [
    ...checkReference('service', row.service, known.services),
    ...checkEnum('scope', row.scope, ['zone', 'region']),
    ...checkFraction('shiftCap', row.shiftCap),
    ...checkFraction('longShare', row.longShare)
  ],
  links: (row, known) => [
    ...checkReference('from', row.from, known.regions),
    ...checkReference('to', row.to, known.regions),
    ...(row.from === row.to ? [['malformed', 'a link joins two different regions'] as const] : []),
    ...(row.mbitPerSecond > 0 && Number.isFinite(row.mbitPerSecond)
      ? []
      : [['out-of-range', `mbitPerSecond is ${row.mbitPerSecond}, expected a number above 0`] as const])
  ],
  drains: (row, known) => [
    ...checkEnum('kind', row.kind, ['upstream', 'instance', 'zone']),
    ...(row.kind === 'zone' ? checkReference('target', row.target, known.zones) : checkFormat('target', row.target, DRAIN_TARGET_FORMAT)),
    ...(row.service === undefined ? [] : checkReference('service', row.service, known.services))
  ]
}

/** Returns all problems of a configuration, or an empty list if it is valid. */
export function validateConfiguration (configuration: Configuration): readonly ConfigurationProblem[] {
  const known: ReferencedIds = {
    regions: new Set(configuration.regions.map(row => row.id)),
    zones: new Set(configuration.zones.map(row => row.id)),
    services: new Set(configuration.services.map(row => row.id))
  }
  return CONFIGURATION_TABLES.flatMap(table => checkTable(configuration, table, known))
}

function checkTable<T extends ConfigurationTable> (configuration: Configuration, table: T, known: ReferencedIds): readonly ConfigurationProblem[] {
  const seen = new Set<string>()
  const problems: ConfigurationProblem[] = []
  for (const row of configuration[table] as ReadonlyArray<ConfigurationRows[T]>) {
    const key = rowKey(table, row)
    if (seen.has(key)) problems.push({ code: 'duplicate-row', table, key, detail: 'the row occurs twice' })
    seen.add(key)
    for (const [code, detail] of ROW_CHECKS[table](row, known)) problems.push({ code, table, key, detail })
  }
  return problems
}

function checkRoute (row: Route): readonly RowProblem[] {
  return [
    ...checkFormat('method of a route', row.method, HTTP_TOKEN_FORMAT),
    ...(row.prefix.startsWith('/') ? [] : [['malformed', `prefix of a route is ${row.prefix}, expected a leading /`] as const]),
    ...checkEnum('kind of a route', row.kind, ['repeatable', 'plain', 'protected']),
    ...checkEnum('length of a route', row.length, ['short', 'long'])
  ]
}

function checkPlace (row: { service: string, zone: string }, known: ReferencedIds): readonly RowProblem[] {
  return [...checkReference('service', row.service, known.services), ...checkReference('zone', row.zone, known.zones)]
}

function checkId (value: string): readonly RowProblem[] {
  return checkFormat('id', value, ID_FORMAT)
}

function checkFormat (name: string, value: string, format: RegExp): readonly RowProblem[] {
  return format.test(value) ? [] : [['malformed', `${name} is ${JSON.stringify(value)}, expected ${format.source}`]]
}

function checkEnum (name: string, value: string, allowed: readonly string[]): readonly RowProblem[] {
  return allowed.includes(value) ? [] : [['malformed', `${name} is ${value}, expected ${allowed.join(' or ')}`]]
}

function checkReference (name: string, value: string, known: ReadonlySet<string>): readonly RowProblem[] {
  return known.has(value) ? [] : [['unknown-reference', `${name} ${value} does not exist`]]
}

function checkInteger (name: string, value: number, min: number, max: number): readonly RowProblem[] {
  if (Number.isSafeInteger(value) && value >= min && value <= max) return []
  return [['out-of-range', `${name} is ${value}, expected a whole number from ${min} to ${max}`]]
}

function checkFraction (name: string, value: number): readonly RowProblem[] {
  return value >= 0 && value <= 1 ? [] : [['out-of-range', `${name} is ${value}, expected 0 to 1`]]
}
