/**
 * Compares two deployments field by field. Entries are matched by name. API keys are only counted.
 */
import type { Deployment, Team } from './deployment.js'

export interface DeploymentDifference {
  readonly change: 'added' | 'removed' | 'changed'
  /** Kind and name of the entry, such as `route "read"`. */
  readonly entry: string
  /** What changed; for an added or removed team its number of keys, for other added or removed entries empty. */
  readonly text: string
}

type Fields = Readonly<Record<string, unknown>>

/** Text of a value. JSON has no infinite numbers, which stand for an absent limit. */
function describe (value: unknown): string {
  return value === undefined ? 'none' : JSON.stringify(value, (_, part: unknown) => part === Infinity ? 'unlimited' : part)
}

function compareFields (entry: string, before: Fields, after: Fields): readonly DeploymentDifference[] {
  return [...new Set([...Object.keys(before), ...Object.keys(after)])].flatMap(field => {
    const [old, current] = [describe(before[field]), describe(after[field])]
    return old === current ? [] : [{ change: 'changed', entry, text: `${field}: ${old} -> ${current}` } as const]
  })
}

/** Entries by label. Further entries of the same name are numbered. */
function labelEntries<T extends { readonly name: string }> (kind: string, entries: readonly T[]): ReadonlyMap<string, T> {
  const labels = new Map<string, T>()
  for (const entry of entries) {
    const label = `${kind} ${JSON.stringify(entry.name)}`
    let number = 1
    while (labels.has(number === 1 ? label : `${label} (${number})`)) number += 1
    labels.set(number === 1 ? label : `${label} (${number})`, entry)
  }
  return labels
}

function compareEntries<T extends { readonly name: string }> (
  kind: string,
  before: readonly T[],
  after: readonly T[],
  compare: (entry: string, before: T, after: T) => readonly DeploymentDifference[],
  summarize: (entry: T) => string = () => ''
): readonly DeploymentDifference[] {
  const [old, current] = [labelEntries(kind, before), labelEntries(kind, after)]
  return [
    ...[...old].flatMap(([entry, value]): readonly DeploymentDifference[] => {
      const next = current.get(entry)
      return next === undefined ? [{ change: 'removed', entry, text: summarize(value) }] : compare(entry, value, next)
    }),
    ...[...current].filter(([entry]) => !old.has(entry)).map(([entry, value]) => ({ change: 'added', entry, text: summarize(value) }) as const)
  ]
}

function compareTeams (entry: string, before: Team, after: Team): readonly DeploymentDifference[] {
  const { apiKeys: oldKeys, ...oldFields } = before
  const { apiKeys: currentKeys, ...currentFields } = after
  const added = new Set(currentKeys.filter(apiKey => !oldKeys.includes(apiKey))).size
  const removed = new Set(oldKeys.filter(apiKey => !currentKeys.includes(apiKey))).size
  const keys: readonly DeploymentDifference[] = added + removed === 0 ? [] : [{ change: 'changed', entry, text: `keys: ${added} added, ${removed} removed` }]
  return [...compareFields(entry, oldFields, currentFields), ...keys]
}

export function compareDeployments (before: Deployment, after: Deployment): readonly DeploymentDifference[] {
  return [
    ...compareFields('version', { version: before.version }, { version: after.version }),
    ...compareEntries('route', before.routes, after.routes, (entry, old, current) => compareFields(entry, { ...old }, { ...current })),
    ...compareEntries('service', before.services, after.services, (entry, old, current) => compareFields(entry, { ...old }, { ...current })),
    ...compareEntries('team', before.teams ?? [], after.teams ?? [], compareTeams, ({ apiKeys }) => `keys: ${new Set(apiKeys).size}`),
    ...compareFields('limits', { ...before.limits }, { ...after.limits })
  ]
}
