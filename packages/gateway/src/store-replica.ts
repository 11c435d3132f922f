/**
 * What the instance knows of the deployment, the upstreams, the evacuations and the other instances, each at a revision
 * of the store. It is read from the store; while the store does not answer, a newer state of another instance is taken.
 * An older state never replaces a newer one.
 */
import type { Deployment, InstanceEntry, SteeringEvent, UpstreamEntry } from '@arbutustray/steering'

export type ResourceKind = 'deployment' | 'upstreams' | 'evacuations' | 'instances'

/** Entries by kind of knowledge. */
export interface ResourceByKind {
  readonly deployment: Deployment
  readonly upstreams: UpstreamEntry
  readonly evacuations: { readonly zone: string }
  readonly instances: InstanceEntry
}

/** One change; without an entry the name was removed. */
export interface ResourceChange<K extends ResourceKind> {
  /** The change had happened by this revision; a state of this revision or a newer one holds it. */
  readonly revision: number
  readonly name: string
  readonly entry?: ResourceByKind[K]
  /** The store had been unavailable, so a removal may be a lapse. */
  readonly afterOutage: boolean
}

/** What an instance knows of one kind, as instances exchange it: the changes after a revision, or all entries. */
export interface ReplicaUpdate<K extends ResourceKind> {
  readonly revision: number
  readonly changes?: ReadonlyArray<ResourceChange<K>>
  readonly entries?: ReadonlyArray<readonly [string, ResourceByKind[K]]>
  /** The entries were read shortly after the store had been unavailable. */
  readonly afterOutage: boolean
}

/** Revisions by kind; -1 for what is not known. */
export type Revisions = { readonly [K in ResourceKind]: number }

export interface StoreReplica {
  /** Takes a whole state. Returns false if it is not newer. */
  readonly replace: <K extends ResourceKind>(kind: K, revision: number, entries: ReadonlyArray<readonly [string, ResourceByKind[K]]>, afterOutage: boolean) => boolean
  /** Takes changes, one for each name, with which the kind has reached a revision. Those that are not newer are left out. */
  readonly applyChanges: <K extends ResourceKind>(kind: K, revision: number, changes: ReadonlyArray<ResourceChange<K>>) => void
  readonly revisions: () => Revisions
  /** What is newer than a revision. */
  readonly updateSince: <K extends ResourceKind>(kind: K, after: number) => ReplicaUpdate<K>
  /** Takes another instance's excerpt. Returns false if it is not newer. */
  readonly applyUpdate: <K extends ResourceKind>(kind: K, excerpt: ReplicaUpdate<K>) => boolean
  /** Whether all that a request needs is known. */
  readonly isComplete: () => boolean
}

export interface StoreReplicaOptions {
  readonly emit: (event: SteeringEvent) => void
  /** Called with the instances after each change. */
  readonly onInstances: (entries: readonly InstanceEntry[]) => void
}

export const RESOURCE_KINDS: readonly ResourceKind[] = ['deployment', 'upstreams', 'evacuations', 'instances']

/** Changes of each kind that are kept for other instances. */
const MAX_RETAINED_CHANGES = 256

interface ResourceTable {
  revision: number
  /** Revision after which `changes` is complete. */
  completeAfter: number
  readonly entries: Map<string, unknown>
  readonly changes: Array<ResourceChange<ResourceKind>>
  /** Whether the newest list may lack entries. */
  afterOutage: boolean
}

export function createStoreReplica ({ emit, onInstances }: StoreReplicaOptions): StoreReplica {
  const tables = new Map<ResourceKind, ResourceTable>(RESOURCE_KINDS.map(kind => [kind, { revision: -1, completeAfter: Infinity, entries: new Map(), changes: [], afterOutage: false }]))
  const tableOf = (kind: ResourceKind): ResourceTable => tables.get(kind) as ResourceTable
  const entriesOf = <K extends ResourceKind>(kind: K): Array<ResourceByKind[K]> => [...tableOf(kind).entries.values()] as Array<ResourceByKind[K]>

  const publishers: { readonly [K in ResourceKind]: (afterOutage: boolean) => void } = {
    deployment: () => entriesOf('deployment').forEach(deployment => emit({ type: 'deployment-received', deployment })),
    upstreams: afterOutage => emit({ type: 'upstreams-listed', entries: entriesOf('upstreams'), afterOutage }),
    evacuations: () => emit({ type: 'evacuations-received', zones: entriesOf('evacuations').map(({ zone }) => zone) }),
    instances: () => onInstances(entriesOf('instances'))
  }

  function applyChange (kind: ResourceKind, table: ResourceTable, change: ResourceChange<ResourceKind>): void {
    const { revision, name, entry, afterOutage } = change
    table.changes.push(change)
    if (table.changes.length > MAX_RETAINED_CHANGES) table.completeAfter = table.changes.shift()?.revision ?? revision
    if (entry === undefined) table.entries.delete(name)
    else table.entries.set(name, entry)
    if (kind !== 'upstreams') return
    const changed = entry as UpstreamEntry | undefined
    emit({ type: 'upstream-changed', id: name, ...(changed === undefined ? {} : { entry: changed }), afterOutage })
  }

  const replica: StoreReplica = {
    replace: (kind, revision, entries, afterOutage) => {
      const table = tableOf(kind)
      if (revision <= table.revision) return false
      table.revision = table.completeAfter = revision
      table.afterOutage = afterOutage
      table.changes.length = 0
      table.entries.clear()
      for (const [name, entry] of entries) table.entries.set(name, entry)
      publishers[kind](afterOutage)
      return true
    },
    applyChanges: (kind, revision, changes) => {
      const table = tableOf(kind)
      const newer = changes.filter(change => change.revision > table.revision)
      if (revision <= table.revision) return
      table.revision = revision
      for (const change of newer) applyChange(kind, table, change)
      if (kind !== 'upstreams' && newer.length > 0) publishers[kind](newer.some(({ afterOutage }) => afterOutage))
    },
    revisions: () => Object.fromEntries(RESOURCE_KINDS.map(kind => [kind, tableOf(kind).revision])) as unknown as Revisions,
    updateSince: <K extends ResourceKind>(kind: K, after: number) => {
      const { revision, completeAfter, entries, changes, afterOutage } = tableOf(kind)
      const excerpt = after >= completeAfter
        ? { revision, afterOutage, changes: changes.filter(change => change.revision > after) }
        : { revision, afterOutage, entries: [...entries] }
      return excerpt as ReplicaUpdate<K>
    },
    applyUpdate: (kind, { revision, changes, entries, afterOutage }) => {
      if (revision <= tableOf(kind).revision) return false
      if (changes !== undefined) replica.applyChanges(kind, revision, changes)
      if (entries !== undefined) replica.replace(kind, revision, entries, afterOutage)
      return true
    },
    isComplete: () => tableOf('deployment').entries.size > 0 && tableOf('upstreams').revision >= 0
  }
  return replica
}
