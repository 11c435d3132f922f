/**
 * The upstream selectors that the benchmark compares. All work on the same free slots and differ only in how they
 * choose among them.
 */
import type { OutstandingAttempts, SelectorTuning, SlotLimits, UpstreamSelector, World } from '@arbutustray/core'
import { createUpstreamSelector } from '@arbutustray/core'

/** Inputs of a variant. */
export interface VariantContext {
  readonly world: World
  readonly slots: SlotLimits
  readonly outstanding: OutstandingAttempts
  readonly seed: number
  /** Draws a uniform integer from 0 to `bound` - 1. */
  readonly randomBelow: (bound: number) => number
  /** Whether an upstream is in a slow period. Only `avoidSlow` uses it. */
  readonly isSlow: (upstreamId: string, now: number) => boolean
}

/** Creates the selector of one entry instance. */
export type Variant = (context: VariantContext) => UpstreamSelector

type Choice = (free: readonly string[], all: readonly string[], now: number) => string | undefined

function createSelector (context: VariantContext, pick: Choice): UpstreamSelector {
  const { world, slots, outstanding } = context
  return {
    select: (service, zone, _length, exclude, now) => {
      const all: string[] = []
      for (const row of world.upstreams.values()) if (row.service === service && row.zone === zone) all.push(row.id)
      const free = all.filter(id => !exclude.has(id) && outstanding.count(id) < slots.limit(id, now))
      return free.length === 0 ? undefined : pick(free, all, now)
    },
    recordStart: () => {},
    recordEnd: () => {},
    expectedServiceMs: () => 20
  }
}

function pickLeastOutstanding (context: VariantContext, ids: readonly string[]): string | undefined {
  const { outstanding, randomBelow } = context
  const least = Math.min(...ids.map(id => outstanding.count(id)))
  const equal = ids.filter(id => outstanding.count(id) === least)
  return equal[randomBelow(equal.length)]
}

function roundRobin (context: VariantContext): UpstreamSelector {
  let next = 0
  return createSelector(context, (free, all) => {
    for (let tried = 0; tried < all.length; tried += 1) {
      const id = all[next % all.length]
      next += 1
      if (free.includes(id)) return id
    }
    return undefined
  })
}

function twoChoices (context: VariantContext): UpstreamSelector {
  return createSelector(context, free => {
    const first = context.randomBelow(free.length)
    const second = (first + 1 + context.randomBelow(Math.max(1, free.length - 1))) % free.length
    return pickLeastOutstanding(context, [free[first], free[second]])
  })
}

/** Selects only upstreams that are not slow. Real selectors can't know this, so it serves as a lower bound on latency. */
function avoidSlow (context: VariantContext): UpstreamSelector {
  return createSelector(context, (free, _all, now) => {
    const fast = free.filter(id => !context.isSlow(id, now))
    return fast.length === 0 ? undefined : pickLeastOutstanding(context, fast)
  })
}

/** The upstream selector of the core package, optionally with other constants. */
export function createExpectedWait (tuning?: SelectorTuning): Variant {
  return ({ world, slots, outstanding, seed }) => createUpstreamSelector({ world, slots, outstanding, seed, tuning })
}

export const VARIANTS: { readonly [name: string]: Variant } = {
  random: context => createSelector(context, free => free[context.randomBelow(free.length)]),
  'round robin': roundRobin,
  'two random choices': twoChoices,
  'least outstanding': context => createSelector(context, free => pickLeastOutstanding(context, free)),
  'expected wait': createExpectedWait(),
  'informed (bound)': avoidSlow
}
