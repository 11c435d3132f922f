/**
 * The configuration that operators maintain. Each accepted change increments its version, and an instance never replaces
 * a version by a lower one. Rows are plain data and are stored as JSON with the field names used here.
 */

/** A group of availability zones with low latency between them. */
export interface Region {
  readonly id: string
}

/** A failure domain within a region. */
export interface AvailabilityZone {
  readonly id: string
  readonly region: string
  /** Configured number of entry instances. Per-instance limits are derived from it, never from an observed count. */
  readonly instances: number
}

/**
 * Whether a request may run more than once. `repeatable`: it may be sent again after an unknown outcome. `plain`: it is
 * sent again only if it certainly did not run. `protected`: it runs at most once per idempotency key, which it must have.
 */
export type RequestKind = 'repeatable' | 'plain' | 'protected'

/** Expected duration of a request. Each class has its own queue. */
export type LengthClass = 'short' | 'long'

/** Classifies the requests of a service by method and path. The first matching route applies. */
export interface Route {
  /** HTTP method, or `*` for any. */
  readonly method: string
  /** Prefix of the path below the service, beginning with `/`. */
  readonly prefix: string
  readonly kind: RequestKind
  readonly length: LengthClass
}

/** A group of interchangeable upstreams that clients address by one name. */
export interface Service {
  readonly id: string
  /** Concurrent requests that one upstream can run. */
  readonly slots: number
  /** Concurrent connections that one upstream accepts. */
  readonly connections: number
  /** Deadline of requests that state none, in milliseconds after their arrival. */
  readonly deadlineMs: number
  /** Largest request body, in bytes. */
  readonly maxBodyBytes: number
  /** Name of the response header by which an upstream states that it refused a request without running it. */
  readonly refusalHeader: string
  /** Time over which a new upstream's slot limit rises from one to its share, in milliseconds. */
  readonly coldStartMs: number
  readonly routes: readonly Route[]
}

/** States that a service has upstreams in a zone. */
export interface Place {
  readonly service: string
  readonly zone: string
}

/** Limits on the traffic of a service: how much may shift to other zones or regions, and the share of long requests. */
export interface Rule {
  readonly service: string
  /** Traffic counts as shifted if it is served outside its origin zone or, with `region`, outside its origin region. */
  readonly scope: 'zone' | 'region'
  /** Largest share of the origin's traffic that may be served outside the scope, 0 to 1. */
  readonly shiftCap: number
  /** Largest share of an upstream's slots for long requests, 0 to 1. */
  readonly longShare: number
}

/** The network link between two regions. */
export interface Link {
  readonly from: string
  readonly to: string
  /** Bandwidth limit in each direction, in megabits per second. */
  readonly mbitPerSecond: number
}

/** Stops new requests to the target. Requests in flight finish. */
export interface Drain {
  readonly kind: 'upstream' | 'instance' | 'zone'
  readonly target: string
  /** Limits the drain of a zone or entry instance to one service. */
  readonly service?: string
}

/** The row type of each table, as stored in the configuration object and in changes. */
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

/** Inserts, replaces or removes one row, which is identified by its `rowKey`. */
export type Operation = {
  [T in ConfigurationTable]:
    | { readonly table: T, readonly put: ConfigurationRows[T] }
    | { readonly table: T, readonly remove: string }
}[ConfigurationTable]

/** One accepted change. */
export interface Change {
  readonly version: number
  /** Chosen by the writer, which recognizes its change by it if the reply to the write was lost. */
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

/** Changes kept in the configuration object, to settle writes without a reply and to update peers that lag slightly. */
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

/** Returns the key of a row, unique within its table. `remove` operations name rows by it. */
export function rowKey<T extends ConfigurationTable> (table: T, row: ConfigurationRows[T]): string {
  return ROW_KEYS[table](row)
}
