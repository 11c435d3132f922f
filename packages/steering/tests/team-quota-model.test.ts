/**
 * Quotas of teams over 7, 34 and 79 instances. Each run guards against more requests in a window than the limit allows;
 * runs without lost or separated instances also against refusals of demand within the quota.
 */
import type { ModelAction, ModelInstance, ModelTeam, QuotaModelResult } from './quota-model.js'
import { describe, expect, it } from 'vitest'
import { modelInstances, playQuotaModel } from './quota-model.js'

const LIMITS = { windowMs: 5_000, overshoot: 0.1, slack: 20 }
const SIZES = [[7, 7], [34, 12], [79, 12]] as const
const MIN_ADMITTED = 0.95
const SECONDS = 30
const SEED = 20261204
/** Usual rates of the teams, in requests per second: most are small. */
const USUAL_RATES = [120, 40, 15, 6, 2.5, 2, 1.5, 1, 1, 0.7, 0.5, 0.3] as const

/** Demand that rises and falls by 0.55 of its mean, in each region at another time. */
function wave (second: number, region: number): number {
  return 1 + 0.55 * Math.sin(2 * Math.PI * (second / 40 + region / 3))
}

function usualTeams (factor = (_second: number): number => 1, changes: Partial<ModelTeam> = {}): readonly ModelTeam[] {
  return USUAL_RATES.map((rate, index) => ({
    name: `team-${index}`,
    quota: { ratePerSecond: 1.6 * rate, burst: 1.6 * rate },
    demand: second => rate * factor(second),
    regionWeight: (region, second) => wave(second, region),
    ...changes
  }))
}

function play (size: readonly [count: number, wide: number], teams: readonly ModelTeam[], actions: readonly ModelAction[] = [], more: { readonly refusedShare?: number, readonly countFrom?: number } = {}): QuotaModelResult {
  const result = playQuotaModel({ instances: modelInstances(size[0], size[1]), teams, limits: LIMITS, seconds: SECONDS, seed: SEED, actions, ...more })
  if (process.env.QUOTA_FIGURES !== undefined) {
    const { admittedShare, admittedShares, worstWindow, largestShareSum, bytesPerInquiry, largestInquiryBytes, inquiriesPerSecond } = result
    console.log(`${expect.getState().currentTestName}: admitted ${admittedShare.toFixed(3)} worst window ${worstWindow.toFixed(3)} shares ${largestShareSum.toFixed(3)} bytes ${bytesPerInquiry.toFixed(0)} to ${largestInquiryBytes} inquiries ${inquiriesPerSecond.toFixed(1)}/s; by team ${[...admittedShares.values()].map(share => share.toFixed(2)).join(' ')}`)
  }
  return result
}

describe.each(SIZES)('of %i instances, %i with wide links', (count, wide) => {
  const size = [count, wide] as const
  const ids = modelInstances(size[0], size[1]).map(({ id }) => id)

  it('admits usual demand that moves between regions', () => {
    const { admittedShare, worstWindow } = play(size, usualTeams())
    expect(worstWindow).toBeLessThanOrEqual(1)
    expect(admittedShare).toBeGreaterThanOrEqual(MIN_ADMITTED)
  })

  it('keeps teams at five times their usual rate to the limit and admits their quota', () => {
    const { admittedShare, worstWindow } = play(size, usualTeams(second => second > 8 && second < 20 ? 5 : 1))
    expect(worstWindow).toBeLessThanOrEqual(1)
    expect(admittedShare).toBeGreaterThanOrEqual(MIN_ADMITTED)
  })

  it.each([
    ['one region', ({ region }: ModelInstance) => region === 0],
    ['one instance', ({ id }: ModelInstance) => id === 'entry-1'],
    ['two instances', ({ id }: ModelInstance) => id === 'entry-1' || id === 'entry-2']
  ])('keeps teams at five times their usual rate at %s to the limit and admits their quota', (_name, only) => {
    const { admittedShare, worstWindow } = play(size, usualTeams(() => 5, { only }))
    expect(worstWindow).toBeLessThanOrEqual(1)
    expect(admittedShare).toBeGreaterThanOrEqual(MIN_ADMITTED)
  })

  it('admits usual demand of callers that move to another region', () => {
    const regionWeight = (region: number, second: number): number => region === (second < 15 ? 0 : 1) ? 1 : 0.17
    const { admittedShare, worstWindow } = play(size, usualTeams(undefined, { regionWeight }))
    expect(worstWindow).toBeLessThanOrEqual(1)
    expect(admittedShare).toBeGreaterThanOrEqual(MIN_ADMITTED)
  })

  it('enforces a lowered quota one window after the instances know it', () => {
    const actions = usualTeams().map(({ name, quota }) => ({ at: 10, type: 'quota', team: name, quota: { ratePerSecond: quota.ratePerSecond / 4, burst: quota.burst / 4 } }) as const)
    expect(play(size, usualTeams(() => 3), actions).worstWindow).toBeLessThanOrEqual(1)
  })

  it('keeps to the limit when half of the instances are killed and start again', () => {
    const killed = ids.filter((_, index) => index % 2 === 0)
    const actions = killed.flatMap(id => [{ at: 8, type: 'kill', id }, { at: 10, type: 'restart', id }] as const)
    expect(play(size, usualTeams(() => 5), actions).worstWindow).toBeLessThanOrEqual(1)
  })

  it('keeps to the limit when instances stay dead until their entries expire', () => {
    const actions = ids.filter((_, index) => index % 2 === 0).map(id => ({ at: 8, type: 'kill', id }) as const)
    expect(play(size, usualTeams(second => second > 6 ? 5 : 0.5), actions).worstWindow).toBeLessThanOrEqual(1)
  })

  it('keeps to the limit when instances are added and removed', () => {
    const changed = ids.filter((_, index) => index % 4 === 0)
    const actions = changed.flatMap((id, index) => [{ at: 5 + index / 2, type: 'add', id }, { at: 20, type: 'remove', id }] as const)
    expect(play(size, usualTeams(() => 5), actions).worstWindow).toBeLessThanOrEqual(1)
  })

  it('keeps to the limit when the network is divided into two sides', () => {
    const isCut = (a: ModelInstance, b: ModelInstance): boolean => (a.region === 0) !== (b.region === 0)
    const actions = [{ at: 8, type: 'partition', isCut }, { at: 18, type: 'partition', isCut: () => false }] as const
    expect(play(size, usualTeams(() => 5), actions).worstWindow).toBeLessThanOrEqual(1)
  })

  it('keeps to the limit when borrowers are suspended with their clocks', () => {
    const actions = ids.filter((_, index) => index % 3 === 0).map((id, index) => ({ at: 8 + index / 10, type: 'suspend', id, seconds: 5 }) as const)
    expect(play(size, usualTeams(() => 5), actions).worstWindow).toBeLessThanOrEqual(1)
  })

  it('keeps to the limit when requests are refused after their admission', () => {
    expect(play(size, usualTeams(() => 5), [], { refusedShare: 0.3 }).worstWindow).toBeLessThanOrEqual(1)
  })
})
