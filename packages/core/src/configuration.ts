/**
 * The configuration that operators create. One version number orders all changes; an instance never replaces a
 * version by a lower one. Rows are plain data and serialize to JSON as they are.
 */

/** A group of availability zones with short delays between them. */
export interface Region {
  readonly id: string
}

/** A failure domain of a region. */
export interface AvailabilityZone {
  readonly id: string
  readonly region: string
  /** Configured number of entry instances. Absolute limits are divided by it, never by an observed count. */
  readonly instances: number
}

/** How often a request may run and be sent. */
export type RequestKind = 'repeatable' | 'plain' | 'protected'

/** Expected length of a request. Each class has its own queue. */
export type LengthClass = 'short' | 'long'

/** Classifies requests of a service. The first route that matches wins. */
export interface Route {
  /** HTTP method, or `*` for any. */
  readonly method: string
  /** Path prefix below the service, beginning with `/`. */
  readonly prefix: string
  readonly kind: RequestKind
  readonly length: LengthClass
}

/** What callers name in a look-up. */
export interface Service {
  readonly id: string
  /** Requests that one upstream runs at a time. */
  readonly slots: number
  /** Connections that one upstream accepts. */
  readonly connections: number
  /** Deadline of a request that states none, in milliseconds. */
  readonly deadlineMs: number
  /** Largest request body, in bytes. */
  readonly maxBodyBytes: number
  /** Name of the header by which an upstream states that it refused before running. */
  readonly refusalHeader: string
  /** Time over which a new upstream's slot limit rises from one to its share, in milliseconds. */
  readonly coldStartMs: number
  readonly routes: readonly Route[]
}

/** A service is hosted in a zone. */
export interface Place {
  readonly service: string
  readonly zone: string
}

/** How work of a service may shift. */
export interface Rule {
  readonly service: string
  /** Traffic that leaves this scope of its origin counts as shifted. */
  readonly scope: 'zone' | 'region'
  /** Largest share of the origin's traffic that may be served outside the scope, 0 to 1. */
  readonly shiftCap: number
  /** Largest share of an upstream's slots for long work, 0 to 1. */
  readonly longShare: number
}

/** A link between two regions; the limit holds each way. */
export interface Link {
  readonly from: string
  readonly to: string
  /** Megabits per second. */
  readonly mbitPerSecond: number
}

/** No new work goes to the target; work in flight finishes. */
export interface Drain {
  readonly kind: 'upstream' | 'instance' | 'zone'
  readonly target: string
  /** Limits a drain of a zone to one service. */
  readonly service?: string
}

/** The rows of each table, as they stand in a change and in the platform's object. */
export interface ConfigurationRows {
  readonly regions: Region
  readonly zones: AvailabilityZone
  readonly services: Service
  readonly places: Place
  readonly rules: Rule
  readonly links: Link
  readonly drains: Drain
}

export type ConfigurationTable = keyof ConfigurationRows

/** Puts or deletes one row. A row's identity is given by `rowKey`. */
export type Operation = {
  [T in ConfigurationTable]:
    | { readonly table: T, readonly put: ConfigurationRows[T] }
    | { readonly table: T, readonly remove: string }
}[ConfigurationTable]

/** One accepted change. */
export interface Change {
  readonly version: number
  /** Chosen by the writer; settles a write whose reply was lost. */
  readonly changeId: string
  readonly actor: string
  readonly reason: string
  /** Milliseconds since the Unix epoch, by the writer's clock. */
  readonly at: number
  readonly operations: readonly Operation[]
}

/** The whole configuration at one version. */
export type Configuration = {
  readonly [T in ConfigurationTable]: readonly ConfigurationRows[T][]
} & {
  readonly version: number
  /** The newest changes, oldest first, at most `RECENT_CHANGES`. */
  readonly recent: readonly Change[]
}

/** Changes that stay in the configuration object for read-back and for peers that are a little behind. */
export const RECENT_CHANGES = 64

export const EMPTY_CONFIGURATION: Configuration = {
  version: 0,
  recent: [],
  regions: [],
  zones: [],
  services: [],
  places: [],
  rules: [],
  links: [],
  drains: []
}

const ROW_KEYS: { readonly [T in ConfigurationTable]: (row: ConfigurationRows[T]) => string } = {
  regions: row => row.id,
  zones: row => row.id,
  services: row => row.id,
  places: row => `${row.service}@${row.zone}`,
  rules: row => row.service,
  links: row => `${row.from}>${row.to}`,
  drains: row => `${row.kind}:${row.target}${row.service === undefined ? '' : `:${row.service}`}`
}

/** Identity of a row inside its table, as `remove` operations name it. */
export function rowKey<T extends ConfigurationTable> (table: T, row: ConfigurationRows[T]): string {
  return ROW_KEYS[table](row)
}
