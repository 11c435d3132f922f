/**
 * Replays one trace under one policy and returns what it measured.
 */
import type { Measures } from './measures.js'
import type { Profile } from './profile.js'
import type { Fleet } from './fleet.js'
import type { Site } from './site.js'
import type { TraceOptions, TracedRequest } from './trace.js'
import type { VirtualTime } from './virtual-time.js'
import { createBaseline } from './baseline.js'
import { createFleet } from './fleet.js'
import { createMeasures } from './measures.js'
import { createRandom } from './random.js'
import { createSite, sampleSite } from './site.js'
import { WARM_UP_MS, drawRequests } from './trace.js'
import { createVirtualTime } from './virtual-time.js'

/** Name of the system under test among the policies. */
export const SYSTEM = 'arbutustray'

/** Failures that a replay brings about. Each is called once, before the first request. */
export type Disturbance = (context: { readonly time: VirtualTime, readonly site: Site, readonly fleet: Fleet }) => void

export interface ReplayOptions {
  readonly profile: Profile
  readonly policy: string
  readonly trace: TraceOptions
  readonly disturbance?: Disturbance
}

/** Time for requests in flight at the end of the trace, in milliseconds. */
const TAIL_MS = 5_000

function createSender (options: ReplayOptions, time: VirtualTime, site: Site, measures: Measures): (request: TracedRequest) => void {
  const { profile, policy, trace } = options
  if (policy !== SYSTEM) {
    return createBaseline({ time, profile, site, measures, random: createRandom(trace.seed), name: policy })
  }
  const untilMs = WARM_UP_MS + trace.durationMs + TAIL_MS
  const fleet = createFleet({ time, profile, site, measures, seed: trace.seed, untilMs })
  options.disturbance?.({ time, site, fleet })
  return fleet.send
}

/** Sends each request at its time, one scheduled action ahead. */
function schedule (time: VirtualTime, requests: readonly TracedRequest[], send: (request: TracedRequest) => void): void {
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

/** Runs a replay to its end. */
export function replay (options: ReplayOptions): Measures {
  const time = createVirtualTime()
  try {
    const measures = createMeasures()
    const site = createSite(time, options.profile, options.trace, options.policy === SYSTEM ? 'shed' : 'queue')
    sampleSite(time, options.profile, site, measures, WARM_UP_MS + options.trace.durationMs)
    const send = createSender(options, time, site, measures)
    schedule(time, drawRequests(options.profile, options.trace), send)
    time.runUntil(WARM_UP_MS + options.trace.durationMs + TAIL_MS)
    return measures
  } finally {
    time.release()
  }
}
