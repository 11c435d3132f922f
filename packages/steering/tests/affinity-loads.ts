/**
 * Loads that the affinity model plays, with figures of the deployments in `docs/design/teams-and-overload.md`.
 */
import type { AffinityLoad } from './affinity-rules.js'

/** `episode-fetch` at `feedhall`. */
const FEED: AffinityLoad = {
  upstreams: [12, 12, 10, 8, 10, 10], slots: 6, queue: 18, memory: 26, workMs: 886, rate: 534, seconds: 30, warmUpSeconds: 12, draw: (_second, random) => ({ object: zipf(190, random) })
}

/** An object whose popularity is about inverse to its number. */
function zipf (count: number, random: () => number): string {
  return String(Math.floor(count ** random() - 1))
}

function uniform (count: number, random: () => number): string {
  return String(Math.floor(count * random()))
}

export const LOADS = {
  /** Few objects have most of the requests. */
  zipf: FEED,
  /** The same at the top of a wave. */
  peak: { ...FEED, rate: 830 },
  /** Zones have very different numbers of upstreams, while callers are spread equally. */
  uneven: { ...FEED, upstreams: [22, 4, 18, 4, 10, 4] },
  /** One object has 30% of the requests. */
  oneHot: { ...FEED, draw: (_second, random) => ({ object: random() < 0.3 ? 'hot' : uniform(190, random) }) },
  /** Twenty objects become popular at once. */
  twentyNew: { ...FEED, draw: (second, random) => ({ object: second > 15 && random() < 0.6 ? `new${uniform(20, random)}` : uniform(190, random) }) },
  /** Most callers move from zone to zone. */
  moving: { ...FEED, draw: (second, random) => ({ object: zipf(190, random), zone: random() < 0.7 ? ['a1', 'b1', 'c1'][Math.floor(second / 8) % 3] : undefined }) },
  /** More objects than the upstreams remember. */
  many: { ...FEED, rate: 300, memory: 10, draw: (_second, random) => ({ object: uniform(1_200, random) }) },
  /** No object is requested twice. */
  noRepeat: { ...FEED, rate: 280, draw: (_second, random) => ({ object: String(random()) }) },
  /** A hundred upstreams. */
  hundred: { ...FEED, upstreams: [18, 16, 17, 16, 17, 16], rate: 1_000, draw: (_second, random) => ({ object: zipf(300, random) }) },
  /** `archive-read` at `lorebox`: upstreams remember few objects. */
  littleMemory: { ...FEED, upstreams: [22, 4, 18, 4, 22, 4], memory: 10, workMs: 2_194, rate: 251, draw: (_second, random) => ({ object: zipf(89, random) }) },
  /** The route has no affinity, and remembered objects need as much work as others. */
  noAffinity: { ...FEED, rate: 280, warmWork: 1, route: { hasAffinity: false } },
  /** The route has affinity, but without a benefit. */
  noBenefit: { ...FEED, rate: 280, warmWork: 1 }
} as const satisfies Readonly<Record<string, AffinityLoad>>
