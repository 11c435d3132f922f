import { createMetrics } from '@arbutustray/telemetry'
import { REFUSAL_STATUS } from '@arbutustray/steering'
import { expect, it } from 'vitest'
import { createTeamCounter, teamOutcome } from '../src/team-counter.js'

it('counts at most 100 teams under their names, guarding against time series without a limit', async () => {
  const metrics = createMetrics({ measureEventLoopDelay: false })
  const count = createTeamCounter(metrics)
  for (let round = 0; round < 2; round += 1) for (let index = 0; index < 130; index += 1) count(`team-${index}`, 'admitted')
  count(undefined, 'refused')
  const lines = (await metrics.text()).split('\n').filter(line => line.startsWith('arbutustray_team_requests_total{'))
  expect(lines).toHaveLength(101)
  expect(lines).toContain('arbutustray_team_requests_total{team="team-99",outcome="admitted"} 2')
  expect(lines).toContain('arbutustray_team_requests_total{team="other",outcome="admitted"} 60')
})

it('counts a request as refused exactly if its status says that it has not run, guarding against a quota that seems unused', () => {
  expect(teamOutcome('upstream')).toBe('admitted')
  for (const [reason, status] of Object.entries(REFUSAL_STATUS)) {
    const expected = status === 429 ? 'over-quota' : status === 502 || status === 504 ? 'admitted' : 'refused'
    expect([reason, teamOutcome(reason as keyof typeof REFUSAL_STATUS)]).toEqual([reason, expected])
  }
})
