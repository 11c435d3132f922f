/**
 * The trace of requests and of slow spells that every policy replays.
 */
import type { Kind, Profile } from './profile.js'
import type { Random } from './random.js'
import { createRandom } from './random.js'

export interface TracedRequest {
  readonly id: string
  /** Time at which the client sends, in milliseconds. */
  readonly at: number
  readonly zone: string
  readonly tenant: string
  readonly kind: Kind
  /** Service time at normal speed, in milliseconds. The same at every upstream. */
  readonly workMs: number
}

/** The upstream runs at a fraction of its speed from `from` until `to`. */
export interface Spell {
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
  readonly straggling: boolean
}

/** Instances know each other and their configuration before the first request. */
export const WARM_UP_MS = 4_000

/** Speed of an upstream in a slow spell. */
export const SPELL_SLOWDOWN = 8
const SPELL_MEAN_MS = 300
const SPELL_SHARE = 0.05
const GAP_MEAN_MS = SPELL_MEAN_MS * (1 - SPELL_SHARE) / SPELL_SHARE

interface Stream {
  readonly kind: Kind
  readonly perMs: number
}

function createStreams (profile: Profile, options: TraceOptions): readonly Stream[] {
  const mainSlots = profile.main.upstreams * profile.main.service.slots
  const uploadSlots = profile.upload.upstreams * profile.upload.service.slots
  const streams = profile.kinds.map(kind => {
    const slots = kind.service === profile.main.service.id ? mainSlots : uploadSlots
    const load = kind.length === 'short' ? options.load : options.uploadLoad
    return { kind, perMs: kind.share * load * slots / kind.meanMs }
  })
  const upload = profile.kinds.find(kind => kind.length === 'long')!
  const mixed = { ...upload, name: 'long', service: profile.main.service.id }
  streams.push({ kind: mixed, perMs: options.mixedLongLoad * mainSlots / mixed.meanMs })
  return streams.filter(stream => stream.perMs > 0)
}

function drawStream (profile: Profile, stream: Stream, index: number, options: TraceOptions): readonly TracedRequest[] {
  const random = createRandom(options.seed + index * 7_919)
  const requests: TracedRequest[] = []
  const end = WARM_UP_MS + options.durationMs
  for (let at = WARM_UP_MS + random.exponential(1 / stream.perMs); at < end; at += random.exponential(1 / stream.perMs)) {
    requests.push({
      id: `${stream.kind.name}-${requests.length}`,
      at,
      zone: random.pick(profile.zones),
      tenant: random.pick(profile.tenants),
      kind: stream.kind,
      workMs: random.exponential(stream.kind.meanMs)
    })
  }
  return requests
}

/** Draws the requests in order of time. */
export function drawRequests (profile: Profile, options: TraceOptions): readonly TracedRequest[] {
  return createStreams(profile, options)
    .flatMap((stream, index) => drawStream(profile, stream, index, options))
    .sort((a, b) => a.at - b.at)
}

/** Draws the slow spells of one upstream in order of time. */
export function drawSpells (random: Random, options: TraceOptions): readonly Spell[] {
  const spells: Spell[] = []
  if (!options.straggling) return spells
  for (let at = random.exponential(GAP_MEAN_MS); at < WARM_UP_MS + options.durationMs;) {
    const to = at + random.exponential(SPELL_MEAN_MS)
    spells.push({ from: at, to })
    at = to + random.exponential(GAP_MEAN_MS)
  }
  return spells
}
