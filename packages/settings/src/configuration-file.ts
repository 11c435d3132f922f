/**
 * Schema of a configuration file: the tables of the configuration, without its version and changes. For each table
 * that it contains, a file lists all rows; applying it removes the others. A table that the file doesn't contain is left
 * unchanged, so that applying a file without drains doesn't cancel a drain.
 */
import { z } from 'zod'
import { identifier } from './identifier.js'

const positive = z.int().positive()
const share = z.number().min(0).max(1)

const region = z.strictObject({ id: identifier }).readonly()

const zone = z.strictObject({ id: identifier, region: identifier, instances: positive }).readonly()

const route = z.strictObject({
  method: z.string().regex(/^([A-Z]+|\*)$/, 'expected an upper-case HTTP method or "*"'),
  prefix: z.string().startsWith('/', 'expected a path that begins with "/"'),
  kind: z.enum(['repeatable', 'plain', 'protected']),
  length: z.enum(['short', 'long'])
}).readonly()

const service = z.strictObject({
  id: identifier,
  slots: positive,
  connections: positive,
  deadlineMs: positive,
  maxBodyBytes: positive,
  refusalHeader: z.string().regex(/^[a-z0-9-]+$/, 'expected a header name in lower case'),
  coldStartMs: z.int().nonnegative(),
  routes: z.array(route).min(1).readonly()
}).readonly()

const place = z.strictObject({ service: identifier, zone: identifier }).readonly()

const rule = z.strictObject({
  service: identifier,
  scope: z.enum(['zone', 'region']),
  shiftCap: share,
  longShare: share
}).readonly()

const link = z.strictObject({ from: identifier, to: identifier, mbitPerSecond: z.number().positive() }).readonly()

/** Id of what is drained. The platform assigns the ids of upstreams and entry instances and may use an address. */
const target = z.string().regex(/^[\x21-\x7e]{1,255}$/, 'expected 1 to 255 visible ASCII characters')

const drain = z.strictObject({
  kind: z.enum(['upstream', 'instance', 'zone']),
  target,
  service: identifier.optional()
}).readonly()

const tables = z.strictObject({
  regions: z.array(region).readonly().optional(),
  zones: z.array(zone).readonly().optional(),
  services: z.array(service).readonly().optional(),
  places: z.array(place).readonly().optional(),
  rules: z.array(rule).readonly().optional(),
  links: z.array(link).readonly().optional(),
  drains: z.array(drain).readonly().optional()
}).readonly()

type Tables = z.output<typeof tables>

/**
 * Foreign keys as table, column and referenced table. Not checked if the file doesn't contain the referenced table.
 */
const REFERENCES: ReadonlyArray<readonly [keyof Tables, string, keyof Tables]> = [
  ['zones', 'region', 'regions'],
  ['places', 'service', 'services'],
  ['places', 'zone', 'zones'],
  ['rules', 'service', 'services'],
  ['links', 'from', 'regions'],
  ['links', 'to', 'regions'],
  ['drains', 'service', 'services']
]

/** Columns whose values together must be unique in their table. */
const UNIQUE_KEYS: { readonly [T in keyof Tables]-?: readonly string[] } = {
  regions: ['id'],
  zones: ['id'],
  services: ['id'],
  places: ['service', 'zone'],
  rules: ['service'],
  links: ['from', 'to'],
  drains: ['kind', 'target', 'service']
}

type Row = Readonly<Record<string, unknown>>

function rowsOf (file: Tables, table: keyof Tables): readonly Row[] | undefined {
  return file[table] as readonly Row[] | undefined
}

type ReportProblem = (path: ReadonlyArray<string | number>, message: string) => void

function checkReferences (file: Tables, report: ReportProblem): void {
  for (const [table, column, referencedTable] of REFERENCES) {
    const ids = rowsOf(file, referencedTable)?.map(row => row.id)
    if (ids === undefined) continue
    rowsOf(file, table)?.forEach((row, index) => {
      if (row[column] === undefined || ids.includes(row[column])) return
      report([table, index, column], `expected the id of a row in "${referencedTable}"`)
    })
  }
}

function checkUniqueKeys (file: Tables, report: ReportProblem): void {
  for (const [table, columns] of Object.entries(UNIQUE_KEYS)) {
    const seen = new Set<string>()
    rowsOf(file, table as keyof Tables)?.forEach((row, index) => {
      const uniqueKey = JSON.stringify(columns.map(column => row[column] ?? ''))
      if (seen.has(uniqueKey)) report([table, index], `expected a unique ${columns.join(' and ')}`)
      seen.add(uniqueKey)
    })
  }
}

/** Schema of a configuration file. Also checks that rows are unique and refer to rows that exist. */
export const configurationFileSchema = tables.superRefine((file, context) => {
  const report: ReportProblem = (path, message) => context.addIssue({ code: 'custom', path: [...path], message })
  checkReferences(file, report)
  checkUniqueKeys(file, report)
})

/** The tables that a configuration file contains. */
export type ConfigurationFile = z.output<typeof configurationFileSchema>
