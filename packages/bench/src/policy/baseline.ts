/**
 * Load balancing policies that the routing policy is compared with. The balancers of a zone share one count of their
 * outstanding requests for each service, and exchange nothing with other zones. They send requests directly to the
 * upstreams, which queue work when all their slots are in use.
 */
import type { Measurements } from './measurements.js'
import type { Profile } from './profile.js'
import type { Random } from './random.js'
import type { UpstreamSet } from './upstream-set.js'
import type { TracedRequest } from './trace.js'
import type { SimulatedUpstream } from './simulated-upstream.js'
import type { VirtualTime } from './virtual-time.js'
import { delayMs, regionOf } from './profile.js'

/** What the balancers of one zone keep about one service. */
interface BalancerState {
  readonly upstreams: readonly SimulatedUpstream[]
  readonly outstanding: Map<string, number>
  readonly random: Random
  /** Round-robin position. */
  position: number
}

type Selector = (state: BalancerState) => SimulatedUpstream

function pickLeastOutstanding (state: BalancerState, candidates: readonly SimulatedUpstream[]): SimulatedUpstream {
  const count = (upstream: SimulatedUpstream): number => state.outstanding.get(upstream.id) ?? 0
  const lowest = Math.min(...candidates.map(count))
  return state.random.pick(candidates.filter(upstream => count(upstream) === lowest))
}

/** Baseline policies by name. With the scope `region` only upstreams of the balancer's own region are candidates. */
export const BASELINES: Readonly<Record<string, { readonly scope: 'all' | 'region', readonly select: Selector }>> = {
  random: { scope: 'all', select: state => state.random.pick(state.upstreams) },
  'round-robin': {
    scope: 'all',
    select: state => {
      state.position += 1
      return state.upstreams[state.position % state.upstreams.length]!
    }
  },
  'two-choices': {
    scope: 'all',
    select: state => pickLeastOutstanding(state, [state.random.pick(state.upstreams), state.random.pick(state.upstreams)])
  },
  'least-outstanding': { scope: 'all', select: state => pickLeastOutstanding(state, state.upstreams) },
  'least-outstanding-region': { scope: 'region', select: state => pickLeastOutstanding(state, state.upstreams) }
}

export interface BaselineOptions {
  readonly time: VirtualTime
  readonly profile: Profile
  readonly upstreamSet: UpstreamSet
  readonly measurements: Measurements
  readonly random: Random
  readonly name: string
}

/** Returns a function that sends one request of the trace under the named policy. */
export function createBaseline (options: BaselineOptions): (request: TracedRequest) => void {
  const { time, profile, upstreamSet, measurements, random } = options
  const baseline = BASELINES[options.name]!
  const states = new Map<string, BalancerState>()

  function stateOf (zone: string, service: string): BalancerState {
    const key = `${zone}/${service}`
    let state = states.get(key)
    if (state === undefined) {
      const inScope = (upstream: SimulatedUpstream): boolean =>
        baseline.scope === 'all' || regionOf(profile, upstream.zone) === regionOf(profile, zone)
      const upstreams = upstreamSet.upstreams.filter(upstream => upstream.service === service && inScope(upstream))
      state = { upstreams, outstanding: new Map(), random, position: 0 }
      states.set(key, state)
    }
    return state
  }

  return request => {
    time.after(profile.clientDelayMs, () => {
      const state = stateOf(request.zone, request.requestClass.service)
      const upstream = baseline.select(state)
      const delay = delayMs(profile, request.zone, upstream.zone)
      const adjustOutstanding = (by: number): void => {
        state.outstanding.set(upstream.id, (state.outstanding.get(upstream.id) ?? 0) + by)
      }
      adjustOutstanding(1)
      time.after(delay, () => upstream.accept({
        workMs: request.workMs,
        onStart: () => measurements.recordWait(request, time.now() - request.at),
        onShed: () => measurements.recordRefusal('upstream-refused'),
        onDone: () => time.after(delay, () => {
          adjustOutstanding(-1)
          time.after(profile.clientDelayMs, () => measurements.recordLatency(request, time.now() - request.at))
        })
      }))
    })
  }
}
