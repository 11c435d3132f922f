/**
 * Replays one trace under one policy on virtual time and returns the measurements.
 */
import type { Measurements } from './measurements.js'
import type { Profile } from './profile.js'
import type { Fleet } from './fleet.js'
import type { UpstreamSet } from './upstream-set.js'
import type { TraceOptions, TracedRequest } from './trace.js'
import type { VirtualTime } from './virtual-time.js'
import { createBaseline } from './baseline.js'
import { createFleet } from './fleet.js'
import { createMeasurements } from './measurements.js'
import { createRandom } from './random.js'
import { createUpstreamSet, sampleLoad } from './upstream-set.js'
import { WARM_UP_MS, drawRequests } from './trace.js'
import { createVirtualTime } from './virtual-time.js'

/** Name of the policy under test; all other policy names are baselines. */
export const SYSTEM_POLICY = 'arbutustray'

/** Schedules failures and configuration changes. Called once, before the first request; baselines ignore it. */
export type FaultInjection = (context: { readonly time: VirtualTime, readonly upstreamSet: UpstreamSet, readonly fleet: Fleet }) => void

export interface ReplayOptions {
  readonly profile: Profile
  readonly policy: string
  readonly trace: TraceOptions
  readonly faultInjection?: FaultInjection
}

/** Time after the end of the trace in which requests in flight can finish. */
const IN_FLIGHT_GRACE_MS = 5_000

function createSender (options: ReplayOptions, time: VirtualTime, upstreamSet: UpstreamSet, measurements: Measurements): (request: TracedRequest) => void {
  const { profile, policy, trace } = options
  if (policy !== SYSTEM_POLICY) {
    return createBaseline({ time, profile, upstreamSet, measurements, random: createRandom(trace.seed), name: policy })
  }
  const untilMs = WARM_UP_MS + trace.durationMs + IN_FLIGHT_GRACE_MS
  const fleet = createFleet({ time, profile, upstreamSet, measurements, seed: trace.seed, untilMs })
  options.faultInjection?.({ time, upstreamSet, fleet })
  return fleet.send
}

/** Sends each request at its time. Only the next request is scheduled, which keeps the queue of actions short. */
function scheduleRequests (time: VirtualTime, requests: readonly TracedRequest[], send: (request: TracedRequest) => void): void {
  let index = 0
  function next (): void {
    const request = requests[index]
    if (request === undefined) return
    time.after(request.at - time.now(), () => {
      index += 1
      next()
      send(request)
    })
  }
  next()
}

/** Replays the trace to its end. */
export function replay (options: ReplayOptions): Measurements {
  const time = createVirtualTime()
  try {
    const measurements = createMeasurements()
    const upstreamSet = createUpstreamSet(time, options.profile, options.trace, options.policy === SYSTEM_POLICY ? 'shed' : 'queue')
    sampleLoad(time, options.profile, upstreamSet, measurements, WARM_UP_MS + options.trace.durationMs)
    const send = createSender(options, time, upstreamSet, measurements)
    scheduleRequests(time, drawRequests(options.profile, options.trace), send)
    time.runUntil(WARM_UP_MS + options.trace.durationMs + IN_FLIGHT_GRACE_MS)
    return measurements
  } finally {
    time.release()
  }
}
