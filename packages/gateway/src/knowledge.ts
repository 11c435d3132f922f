/**
 * What the instance knows of the deployment, the upstreams, the evacuations and the other instances, each at a revision
 * of the store. It is read from the store; while the store does not answer, a newer state of another instance is taken.
 * An older state never replaces a newer one.
 */
import type { Deployment, InstanceEntry, SteeringEvent, UpstreamEntry } from '@arbutustray/steering'

export type KnowledgeKind = 'deployment' | 'upstreams' | 'evacuations' | 'instances'

/** Entries by kind of knowledge. */
export interface KnowledgeEntry {
  readonly deployment: Deployment
  readonly upstreams: UpstreamEntry
  readonly evacuations: { readonly zone: string }
  readonly instances: InstanceEntry
}

/** One change; without an entry the name was removed. */
export interface KnowledgeChange<K extends KnowledgeKind> {
  /** The change had happened by this revision; a state of this revision or a newer one holds it. */
  readonly revision: number
  readonly name: string
  readonly entry?: KnowledgeEntry[K]
  /** The store had been unavailable, so a removal may be a lapse. */
  readonly afterOutage: boolean
}

/** What an instance knows of one kind, as instances exchange it: the changes after a revision, or all entries. */
export interface Excerpt<K extends KnowledgeKind> {
  readonly revision: number
  readonly changes?: ReadonlyArray<KnowledgeChange<K>>
  readonly entries?: ReadonlyArray<readonly [string, KnowledgeEntry[K]]>
  /** The entries were read shortly after the store had been unavailable. */
  readonly afterOutage: boolean
}

/** Revisions by kind; -1 for what is not known. */
export type Revisions = { readonly [K in KnowledgeKind]: number }

export interface Knowledge {
  /** Takes a whole state. Returns false if it is not newer. */
  readonly replace: <K extends KnowledgeKind>(kind: K, revision: number, entries: ReadonlyArray<readonly [string, KnowledgeEntry[K]]>, afterOutage: boolean) => boolean
  /** Takes changes, one for each name, with which the kind has reached a revision. Those that are not newer are left out. */
  readonly change: <K extends KnowledgeKind>(kind: K, revision: number, changes: ReadonlyArray<KnowledgeChange<K>>) => void
  readonly revisions: () => Revisions
  /** What is newer than a revision. */
  readonly excerpt: <K extends KnowledgeKind>(kind: K, after: number) => Excerpt<K>
  /** Takes another instance's excerpt. Returns false if it is not newer. */
  readonly adopt: <K extends KnowledgeKind>(kind: K, excerpt: Excerpt<K>) => boolean
  /** Whether all that a request needs is known. */
  readonly isComplete: () => boolean
}

export interface KnowledgeOptions {
  readonly emit: (event: SteeringEvent) => void
  /** Called with the instances after each change. */
  readonly onInstances: (entries: readonly InstanceEntry[]) => void
}

export const KNOWLEDGE_KINDS: readonly KnowledgeKind[] = ['deployment', 'upstreams', 'evacuations', 'instances']

/** Changes of each kind that are kept for other instances. */
const KEPT_CHANGES = 256

interface Table {
  revision: number
  /** Revision after which `changes` is complete. */
  completeAfter: number
  readonly entries: Map<string, unknown>
  readonly changes: Array<KnowledgeChange<KnowledgeKind>>
  /** Whether the newest list may lack entries. */
  afterOutage: boolean
}

export function createKnowledge ({ emit, onInstances }: KnowledgeOptions): Knowledge {
  const tables = new Map<KnowledgeKind, Table>(KNOWLEDGE_KINDS.map(kind => [kind, { revision: -1, completeAfter: Infinity, entries: new Map(), changes: [], afterOutage: false }]))
  const tableOf = (kind: KnowledgeKind): Table => tables.get(kind) as Table
  const entriesOf = <K extends KnowledgeKind>(kind: K): Array<KnowledgeEntry[K]> => [...tableOf(kind).entries.values()] as Array<KnowledgeEntry[K]>

  const publishers: { readonly [K in KnowledgeKind]: (afterOutage: boolean) => void } = {
    deployment: () => entriesOf('deployment').forEach(deployment => emit({ type: 'deployment-received', deployment })),
    upstreams: afterOutage => emit({ type: 'upstreams-listed', entries: entriesOf('upstreams'), afterOutage }),
    evacuations: () => emit({ type: 'evacuations-received', zones: entriesOf('evacuations').map(({ zone }) => zone) }),
    instances: () => onInstances(entriesOf('instances'))
  }

  function apply (kind: KnowledgeKind, table: Table, change: KnowledgeChange<KnowledgeKind>): void {
    const { revision, name, entry, afterOutage } = change
    table.changes.push(change)
    if (table.changes.length > KEPT_CHANGES) table.completeAfter = table.changes.shift()?.revision ?? revision
    if (entry === undefined) table.entries.delete(name)
    else table.entries.set(name, entry)
    if (kind !== 'upstreams') return
    const changed = entry as UpstreamEntry | undefined
    emit({ type: 'upstream-changed', id: name, ...(changed === undefined ? {} : { entry: changed }), afterOutage })
  }

  const knowledge: Knowledge = {
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
    change: (kind, revision, changes) => {
      const table = tableOf(kind)
      const newer = changes.filter(change => change.revision > table.revision)
      if (revision <= table.revision) return
      table.revision = revision
      for (const change of newer) apply(kind, table, change)
      if (kind !== 'upstreams' && newer.length > 0) publishers[kind](newer.some(({ afterOutage }) => afterOutage))
    },
    revisions: () => Object.fromEntries(KNOWLEDGE_KINDS.map(kind => [kind, tableOf(kind).revision])) as unknown as Revisions,
    excerpt: <K extends KnowledgeKind>(kind: K, after: number) => {
      const { revision, completeAfter, entries, changes, afterOutage } = tableOf(kind)
      const excerpt = after >= completeAfter
        ? { revision, afterOutage, changes: changes.filter(change => change.revision > after) }
        : { revision, afterOutage, entries: [...entries] }
      return excerpt as Excerpt<K>
    },
    adopt: (kind, { revision, changes, entries, afterOutage }) => {
      if (revision <= tableOf(kind).revision) return false
      if (changes !== undefined) knowledge.change(kind, revision, changes)
      if (entries !== undefined) knowledge.replace(kind, revision, entries, afterOutage)
      return true
    },
    isComplete: () => tableOf('deployment').entries.size > 0 && tableOf('upstreams').revision >= 0
  }
  return knowledge
}
