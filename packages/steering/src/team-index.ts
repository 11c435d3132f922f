/**
 * Finds the team of a request by its API key.
 *
 * Keys are looked up by their SHA-256 digest. The time of a look-up by the key itself may depend on how much of it equals
 * a valid key, from which a caller could guess one; a digest's relation to its key can't be predicted.
 */
import type { Route, Team } from './deployment.js'
import type { Refusal } from './refusal.js'
import { hash } from 'node:crypto'

/** A team that is refused some of its keys because an earlier team of the same version has them. */
export interface KeyConflict {
  readonly team: string
  readonly earlierTeam: string
  readonly keys: number
}

export interface TeamIndex {
  readonly find: (apiKey: string) => Team | undefined
  /** Smallest and largest priority number of the teams that have keys; 0 without such teams. */
  readonly topPriority: number
  readonly lowestPriority: number
  readonly conflicts: readonly KeyConflict[]
}

/** The sender of a request, or the reason for which it is refused. */
export interface Identity {
  /** `undefined` for an anonymous request and in a deployment without teams. */
  readonly team: Team | undefined
  readonly refusal: Refusal | undefined
}

const NO_TEAM: Identity = { team: undefined, refusal: undefined }
const NO_KEY: Identity = { team: undefined, refusal: 'no-key' }
const UNKNOWN_KEY: Identity = { team: undefined, refusal: 'unknown-key' }

function digest (apiKey: string): string {
  return hash('sha256', apiKey, 'base64')
}

/** Builds the index of one deployment's teams. */
export function createTeamIndex (teams: readonly Team[]): TeamIndex {
  const teamsByDigest = new Map<string, Team>()
  const conflicts = new Map<string, KeyConflict>()
  for (const team of teams) {
    for (const apiKey of team.apiKeys) {
      // The empty key stands for malformed credentials.
      if (apiKey === '') continue
      const key = digest(apiKey)
      const earlier = teamsByDigest.get(key)
      if (earlier === undefined) teamsByDigest.set(key, team)
      else if (earlier.name !== team.name) {
        const pair = JSON.stringify([team.name, earlier.name])
        conflicts.set(pair, { team: team.name, earlierTeam: earlier.name, keys: (conflicts.get(pair)?.keys ?? 0) + 1 })
      }
    }
  }
  const priorities = [...teamsByDigest.values()].map(({ priority }) => priority)
  return {
    find: apiKey => teamsByDigest.get(digest(apiKey)),
    topPriority: priorities.length === 0 ? 0 : Math.min(...priorities),
    lowestPriority: priorities.length === 0 ? 0 : Math.max(...priorities),
    conflicts: [...conflicts.values()]
  }
}

/** Identifies the sender of a request. `index` is `undefined` in a deployment without teams. */
export function identifyTeam (index: TeamIndex | undefined, apiKey: string | undefined, route: Route): Identity {
  if (index === undefined) return NO_TEAM
  if (apiKey === undefined) return route.allowsAnonymous ? NO_TEAM : NO_KEY
  const team = index.find(apiKey)
  return team === undefined ? UNKNOWN_KEY : { team, refusal: undefined }
}

/**
 * Regions that may serve a request, empty for all; `undefined` if the home regions of the route and of the team have no
 * region in common, so that no upstream may serve it.
 */
export function homeRegionsOf (route: Route, team: Team | undefined): readonly string[] | undefined {
  if (team === undefined || team.homeRegions.length === 0) return route.homeRegions
  if (route.homeRegions.length === 0) return team.homeRegions
  const common = route.homeRegions.filter(region => team.homeRegions.includes(region))
  return common.length === 0 ? undefined : common
}
