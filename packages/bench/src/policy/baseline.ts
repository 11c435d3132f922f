/**
 * Policies that a user would pick instead. Each entry instance knows only its own outstanding requests and sends
 * straight to the upstreams, which queue work once their slots are full.
 */
import type { Measures } from './measures.js'
import type { Profile } from './profile.js'
import type { Random } from './random.js'
import type { Site } from './site.js'
import type { TracedRequest } from './trace.js'
import type { UpstreamFake } from './upstream-fake.js'
import type { VirtualTime } from './virtual-time.js'
import { delayMs, regionOf } from './profile.js'

interface View {
  readonly upstreams: readonly UpstreamFake[]
  readonly outstanding: Map<string, number>
  readonly random: Random
  turn: number
}

type Choice = (view: View) => UpstreamFake

function least (view: View, candidates: readonly UpstreamFake[]): UpstreamFake {
  const count = (upstream: UpstreamFake): number => view.outstanding.get(upstream.id) ?? 0
  const lowest = Math.min(...candidates.map(count))
  return view.random.pick(candidates.filter(upstream => count(upstream) === lowest))
}

/** The baselines by name. `scope` limits the candidates. */
export const BASELINES: Readonly<Record<string, { readonly scope: 'all' | 'region', readonly choose: Choice }>> = {
  random: { scope: 'all', choose: view => view.random.pick(view.upstreams) },
  'round-robin': {
    scope: 'all',
    choose: view => {
      view.turn += 1
      return view.upstreams[view.turn % view.upstreams.length]!
    }
  },
  'two-choices': {
    scope: 'all',
    choose: view => least(view, [view.random.pick(view.upstreams), view.random.pick(view.upstreams)])
  },
  'least-outstanding': { scope: 'all', choose: view => least(view, view.upstreams) },
  'least-outstanding-region': { scope: 'region', choose: view => least(view, view.upstreams) }
}

export interface BaselineOptions {
  readonly time: VirtualTime
  readonly profile: Profile
  readonly site: Site
  readonly measures: Measures
  readonly random: Random
  readonly name: string
}

/** Returns a function that sends one traced request. */
export function createBaseline (options: BaselineOptions): (request: TracedRequest) => void {
  const { time, profile, site, measures, random } = options
  const baseline = BASELINES[options.name]!
  const views = new Map<string, View>()

  function viewOf (zone: string, service: string): View {
    const key = `${zone}/${service}`
    let view = views.get(key)
    if (view === undefined) {
      const inScope = (upstream: UpstreamFake): boolean =>
        baseline.scope === 'all' || regionOf(profile, upstream.zone) === regionOf(profile, zone)
      const upstreams = site.upstreams.filter(upstream => upstream.service === service && inScope(upstream))
      view = { upstreams, outstanding: new Map(), random, turn: 0 }
      views.set(key, view)
    }
    return view
  }

  return request => {
    time.after(profile.clientDelayMs, () => {
      const view = viewOf(request.zone, request.kind.service)
      const upstream = baseline.choose(view)
      const delay = delayMs(profile, request.zone, upstream.zone)
      const change = (by: number): void => {
        view.outstanding.set(upstream.id, (view.outstanding.get(upstream.id) ?? 0) + by)
      }
      change(1)
      time.after(delay, () => upstream.accept({
        workMs: request.workMs,
        onStart: () => measures.recordWait(request, time.now() - request.at),
        onShed: () => measures.recordRefusal('upstream-refused'),
        onDone: () => time.after(delay, () => {
          change(-1)
          time.after(profile.clientDelayMs, () => measures.recordLatency(request, time.now() - request.at))
        })
      }))
    })
  }
}
