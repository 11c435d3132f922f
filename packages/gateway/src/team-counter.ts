/**
 * Counts the requests of each team in the metrics, with a limited number of label values over the life of the process.
 */
import type { Refusal } from '@arbutustray/steering'
import type { Metrics } from '@arbutustray/telemetry'
import { POSSIBLY_RUN } from '@arbutustray/steering'

export type TeamOutcome = 'admitted' | 'over-quota' | 'refused'

/** Teams with a time series of their own. New deployments may rename teams, and the series of the old names remain. */
const MAX_TEAM_LABELS = 100
/** Label of all other teams. */
const OTHER_LABEL = 'other'

/** Outcome of a request that an upstream answered or that the instance itself ended for the given reason. */
export function teamOutcome (source: 'upstream' | Refusal): TeamOutcome {
  if (source === 'over-quota') return 'over-quota'
  return source === 'upstream' || POSSIBLY_RUN.has(source) ? 'admitted' : 'refused'
}

/** Creates a function that counts a request; one without a team is not counted. */
export function createTeamCounter (metrics: Pick<Metrics, 'increment'>): (team: string | undefined, outcome: TeamOutcome) => void {
  const labels = new Set<string>()
  return (team, outcome) => {
    if (team === undefined) return
    if (labels.size < MAX_TEAM_LABELS) labels.add(team)
    metrics.increment('arbutustray_team_requests_total', { team: labels.has(team) ? team : OTHER_LABEL, outcome })
  }
}
