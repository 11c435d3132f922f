/**
 * Deployment, upstream entries and events that the steering tests share.
 */
import type { Deployment, Route, SteeringEvent, SteeringOptions, UpstreamEntry } from '../src/index.js'
import { createSteering } from '../src/index.js'

export const READ: Route = {
  name: 'read', host: 'shop.example', prefix: '/read/', kind: 'idempotent', timeoutMs: 3_000, objectiveMs: 500, attempts: 2, priority: 2, parts: [{ service: 'shop', weight: 1 }], homeRegions: [], allowsAnonymous: false, hasAffinity: true
}
export const BUY: Route = { ...READ, name: 'buy', prefix: '/buy/', kind: 'non-idempotent', timeoutMs: 1_200, priority: 1 }

export const DEPLOYMENT: Deployment = {
  version: 1,
  routes: [READ, BUY],
  services: [{ name: 'shop', healthPath: '/health', connectionLimit: 300, coldMs: 3_000, coldRate: 10 }],
  limits: { headerBytes: 8_192, bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  teams: undefined
}

export const REGIONS = { a1: 'a', a2: 'a', b1: 'b', b2: 'b' } as const

export const OPTIONS: SteeringOptions = {
  self: { id: 'entry-1', zone: 'a1', region: 'a' },
  regions: REGIONS,
  retries: { ratio: 0.2, extra: 56, windowMs: 10_000 },
  cold: { factor: 1.5, extra: 5 }
}

export function upstreamEntry (id: string, changes: Partial<UpstreamEntry> = {}): UpstreamEntry {
  return { id, service: 'shop', address: `10.0.0.1:${8_000 + id.length}`, zone: 'a1', slots: 9, state: 'ready', coldMs: 0, bornAt: 1, ...changes }
}

/** Entries `u1` to `uN`, spread over the zones. */
export function upstreamEntries (count: number, changes: Partial<UpstreamEntry> = {}): readonly UpstreamEntry[] {
  const zones = Object.keys(REGIONS)
  return Array.from({ length: count }, (_, index) =>
    upstreamEntry(`u${index + 1}`, { address: `10.0.0.1:${8_001 + index}`, zone: zones[index % zones.length], ...changes }))
}

/** Creates a steering engine that has received a deployment and the list of upstreams. */
export function startSteering (entries: readonly UpstreamEntry[], changes: Partial<SteeringOptions> = {}, deployment: Deployment = DEPLOYMENT): ReturnType<typeof createSteering> {
  const steering = createSteering({ ...OPTIONS, ...changes })
  steering.handle({ type: 'deployment-received', deployment })
  steering.handle({ type: 'upstreams-listed', entries, graceMs: 0 })
  return steering
}

export function arrival (requestId: string, path: string, objectKey: string | undefined = '7', deadlineMs = 3_000): SteeringEvent {
  return { type: 'request-arrived', requestId, host: 'shop.example', path, objectKey, deadlineMs, receivedAt: performance.now() }
}
