/**
 * Draws the requests and the slow periods of upstreams that every policy replays.
 */
import type { RequestClass, Profile } from './profile.js'
import type { Random } from './random.js'
import { createRandom } from './random.js'

/** A request of the trace. */
export interface TracedRequest {
  readonly id: string
  /** Time at which the client sends, in milliseconds. */
  readonly at: number
  readonly zone: string
  readonly tenant: string
  readonly requestClass: RequestClass
  /** Service time at normal speed in milliseconds, the same at every upstream. */
  readonly workMs: number
}

/** An upstream runs slower by `SLOWDOWN_FACTOR` from `from` until `to`, in milliseconds. */
export interface SlowPeriod {
  readonly from: number
  readonly to: number
}

export interface TraceOptions {
  readonly seed: number
  readonly durationMs: number
  /** Offered short work as a share of the main service's capacity. */
  readonly load: number
  /** Offered uploads as a share of the upload service's capacity. */
  readonly uploadLoad: number
  /** Long work offered to the main service as a share of its capacity. */
  readonly mixedLongLoad: number
  /** Whether upstreams have slow periods. */
  readonly straggling: boolean
}

/** Time before the first request, in which instances learn of each other and receive their configuration. */
export const WARM_UP_MS = 4_000

/** Factor by which work takes longer in a slow period. */
export const SLOWDOWN_FACTOR = 8
const SLOW_PERIOD_MEAN_MS = 300
const SLOW_TIME_SHARE = 0.05
const NORMAL_PERIOD_MEAN_MS = SLOW_PERIOD_MEAN_MS * (1 - SLOW_TIME_SHARE) / SLOW_TIME_SHARE

interface RequestStream {
  readonly requestClass: RequestClass
  readonly requestsPerMs: number
}

function createRequestStreams (profile: Profile, options: TraceOptions): readonly RequestStream[] {
  const mainSlots = profile.main.upstreams * profile.main.service.slots
  const uploadSlots = profile.upload.upstreams * profile.upload.service.slots
  const streams = profile.requestClasses.map(requestClass => {
    const slots = requestClass.service === profile.main.service.id ? mainSlots : uploadSlots
    const load = requestClass.length === 'short' ? options.load : options.uploadLoad
    return { requestClass, requestsPerMs: requestClass.share * load * slots / requestClass.meanMs }
  })
  const upload = profile.requestClasses.find(requestClass => requestClass.length === 'long')!
  const mixed = { ...upload, name: 'long', service: profile.main.service.id }
  streams.push({ requestClass: mixed, requestsPerMs: options.mixedLongLoad * mainSlots / mixed.meanMs })
  return streams.filter(stream => stream.requestsPerMs > 0)
}

function drawStreamRequests (profile: Profile, stream: RequestStream, index: number, options: TraceOptions): readonly TracedRequest[] {
  const random = createRandom(options.seed + index * 7_919)
  const requests: TracedRequest[] = []
  const end = WARM_UP_MS + options.durationMs
  for (let at = WARM_UP_MS + random.exponential(1 / stream.requestsPerMs); at < end; at += random.exponential(1 / stream.requestsPerMs)) {
    requests.push({
      id: `${stream.requestClass.name}-${requests.length}`,
      at,
      zone: random.pick(profile.zones),
      tenant: random.pick(profile.tenants),
      requestClass: stream.requestClass,
      workMs: random.exponential(stream.requestClass.meanMs)
    })
  }
  return requests
}

/** Draws the requests and returns them in order of time. */
export function drawRequests (profile: Profile, options: TraceOptions): readonly TracedRequest[] {
  return createRequestStreams(profile, options)
    .flatMap((stream, index) => drawStreamRequests(profile, stream, index, options))
    .sort((a, b) => a.at - b.at)
}

/** Draws the slow periods of one upstream in order of time. */
export function drawSlowPeriods (random: Random, options: TraceOptions): readonly SlowPeriod[] {
  const slowPeriods: SlowPeriod[] = []
  if (!options.straggling) return slowPeriods
  for (let at = random.exponential(NORMAL_PERIOD_MEAN_MS); at < WARM_UP_MS + options.durationMs;) {
    const to = at + random.exponential(SLOW_PERIOD_MEAN_MS)
    slowPeriods.push({ from: at, to })
    at = to + random.exponential(NORMAL_PERIOD_MEAN_MS)
  }
  return slowPeriods
}
