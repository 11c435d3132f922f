/**
 * This instance's replica of the store: the deployment, the upstreams, the evacuations and the entry instances, each kind
 * at a revision of the store. It is updated from the store or, for a kind that this instance does not read itself, from
 * other instances. An older revision never replaces a newer one.
 */
import type { Deployment, InstanceEntry, SteeringEvent, UpstreamEntry } from '@arbutustray/steering'
import { monotonicNow } from '@arbutustray/core'

export type ResourceKind = 'deployment' | 'upstreams' | 'evacuations' | 'instances'

/** Type of an entry by kind of resource. */
export interface ResourceByKind {
  readonly deployment: Deployment
  readonly upstreams: UpstreamEntry
  readonly evacuations: { readonly zone: string }
  readonly instances: InstanceEntry
}

/** One change of an entry; without `entry`, the entry was removed. */
export interface ResourceChange<K extends ResourceKind> {
  /** A replica at this revision or a newer one includes the change. */
  readonly revision: number
  readonly name: string
  readonly entry?: ResourceByKind[K]
  /**
   * Time from now on for which a removed entry may only have expired in an outage of the store, in milliseconds; else 0. An
   * instance sends what is left of it, so that the time ends at all instances together.
   */
  readonly graceMs: number
}

/** Update of one kind that an instance sends to another: the changes after a revision, or all entries. */
export interface ReplicaUpdate<K extends ResourceKind> {
  readonly revision: number
  readonly changes?: ReadonlyArray<ResourceChange<K>>
  readonly entries?: ReadonlyArray<readonly [string, ResourceByKind[K]]>
  /** The same for entries that are missing from `entries`. */
  readonly graceMs: number
}

/** Revision by kind; -1 for a kind that was not read yet. */
export type Revisions = { readonly [K in ResourceKind]: number }

export interface StoreReplica {
  /** Replaces all entries of a kind. Returns false, and changes nothing, if the revision is not newer. */
  readonly replace: <K extends ResourceKind>(kind: K, revision: number, entries: ReadonlyArray<readonly [string, ResourceByKind[K]]>, graceMs: number) => boolean
  /** Applies the changes, at most one for each name, that bring a kind to `revision`. Changes that are not newer are skipped. */
  readonly applyChanges: <K extends ResourceKind>(kind: K, revision: number, changes: ReadonlyArray<ResourceChange<K>>) => void
  readonly revisions: () => Revisions
  /** Everything that is newer than revision `after`. */
  readonly updateSince: <K extends ResourceKind>(kind: K, after: number) => ReplicaUpdate<K>
  /** Applies another instance's update. Returns false, and changes nothing, if it is not newer. */
  readonly applyUpdate: <K extends ResourceKind>(kind: K, update: ReplicaUpdate<K>) => boolean
  /** Whether upstreams are missing whose entries may only have expired. */
  readonly hasUnconfirmedRemovals: () => boolean
  /** Ends the grace period of upstreams that were removed up to `revision`, which an instance without an outage has read. */
  readonly confirmRemovals: (revision: number) => void
  /** Whether the deployment and the upstreams are known, without which no request can be routed. */
  readonly isComplete: () => boolean
}

export interface StoreReplicaOptions {
  readonly emit: (event: SteeringEvent) => void
  /** Called with all instances after each change. */
  readonly onInstances: (entries: readonly InstanceEntry[]) => void
}

export const RESOURCE_KINDS: readonly ResourceKind[] = ['deployment', 'upstreams', 'evacuations', 'instances']

/** Number of changes of each kind that are kept for updates to other instances. */
const MAX_RETAINED_CHANGES = 256

interface ResourceTable {
  revision: number
  /** `changes` holds all changes after this revision. */
  completeAfter: number
  readonly entries: Map<string, unknown>
  readonly changes: Array<{ readonly change: ResourceChange<ResourceKind>, graceUntil: number }>
  /** Until then, entries that were missing when all were last replaced may only have expired. */
  graceUntil: number
}

export function createStoreReplica ({ emit, onInstances }: StoreReplicaOptions): StoreReplica {
  const tables = new Map<ResourceKind, ResourceTable>(RESOURCE_KINDS.map(kind => [kind, { revision: -1, completeAfter: Infinity, entries: new Map(), changes: [], graceUntil: -Infinity }]))
  const tableOf = (kind: ResourceKind): ResourceTable => tables.get(kind) as ResourceTable
  const entriesOf = <K extends ResourceKind>(kind: K): Array<ResourceByKind[K]> => [...tableOf(kind).entries.values()] as Array<ResourceByKind[K]>

  const publishers: { readonly [K in ResourceKind]: (graceMs: number) => void } = {
    deployment: () => entriesOf('deployment').forEach(deployment => emit({ type: 'deployment-received', deployment })),
    upstreams: graceMs => emit({ type: 'upstreams-listed', entries: entriesOf('upstreams'), graceMs }),
    evacuations: () => emit({ type: 'evacuations-received', zones: entriesOf('evacuations').map(({ zone }) => zone) }),
    instances: () => onInstances(entriesOf('instances'))
  }

  function applyChange (kind: ResourceKind, table: ResourceTable, change: ResourceChange<ResourceKind>): void {
    const { revision, name, entry, graceMs } = change
    table.changes.push({ change, graceUntil: monotonicNow() + graceMs })
    if (table.changes.length > MAX_RETAINED_CHANGES) table.completeAfter = table.changes.shift()?.change.revision ?? revision
    if (entry === undefined) table.entries.delete(name)
    else table.entries.set(name, entry)
    if (kind !== 'upstreams') return
    const changedEntry = entry as UpstreamEntry | undefined
    emit({ type: 'upstream-changed', id: name, ...(changedEntry === undefined ? {} : { entry: changedEntry }), graceMs })
  }

  /** The removals of upstreams whose grace period has not ended. */
  function unconfirmedRemovals (): ResourceTable['changes'] {
    const table = tableOf('upstreams')
    const now = monotonicNow()
    return table.changes.filter(({ change: { name }, graceUntil }) => graceUntil > now && !table.entries.has(name))
  }

  const replica: StoreReplica = {
    replace: (kind, revision, entries, graceMs) => {
      const table = tableOf(kind)
      if (revision <= table.revision) return false
      table.revision = table.completeAfter = revision
      table.graceUntil = monotonicNow() + graceMs
      table.changes.length = 0
      table.entries.clear()
      for (const [name, entry] of entries) table.entries.set(name, entry)
      publishers[kind](graceMs)
      return true
    },
    applyChanges: (kind, revision, changes) => {
      const table = tableOf(kind)
      const newerChanges = changes.filter(change => change.revision > table.revision)
      if (revision <= table.revision) return
      table.revision = revision
      for (const change of newerChanges) applyChange(kind, table, change)
      if (kind !== 'upstreams' && newerChanges.length > 0) publishers[kind](0)
    },
    revisions: () => Object.fromEntries(RESOURCE_KINDS.map(kind => [kind, tableOf(kind).revision])) as unknown as Revisions,
    updateSince: <K extends ResourceKind>(kind: K, after: number) => {
      const { revision, completeAfter, entries, changes, graceUntil } = tableOf(kind)
      const now = monotonicNow()
      const update = after >= completeAfter
        ? { revision, graceMs: 0, changes: changes.filter(({ change }) => change.revision > after).map(({ change, graceUntil }) => ({ ...change, graceMs: Math.max(0, graceUntil - now) })) }
        : { revision, graceMs: Math.max(0, graceUntil - now), entries: [...entries] }
      return update as ReplicaUpdate<K>
    },
    applyUpdate: (kind, { revision, changes, entries, graceMs }) => {
      if (revision <= tableOf(kind).revision) return false
      if (changes !== undefined) replica.applyChanges(kind, revision, changes)
      if (entries !== undefined) replica.replace(kind, revision, entries, graceMs)
      return true
    },
    hasUnconfirmedRemovals: () => tableOf('upstreams').graceUntil > monotonicNow() || unconfirmedRemovals().length > 0,
    confirmRemovals: revision => {
      const table = tableOf('upstreams')
      const unconfirmed = unconfirmedRemovals()
      const confirmed = unconfirmed.filter(({ change }) => change.revision <= revision)
      for (const removal of confirmed) {
        removal.graceUntil = -Infinity
        emit({ type: 'upstream-changed', id: removal.change.name, graceMs: 0 })
      }
      // A list names no removals: what it lacks is removed by publishing it again.
      if (table.graceUntil <= monotonicNow() || table.completeAfter > revision || confirmed.length < unconfirmed.length) return
      table.graceUntil = -Infinity
      publishers.upstreams(0)
    },
    isComplete: () => tableOf('deployment').entries.size > 0 && tableOf('upstreams').revision >= 0
  }
  return replica
}
