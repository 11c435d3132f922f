/**
 * Checks the shift cap over whole engines: three instances of one zone receive uneven shares of its traffic and have too
 * few upstreams, restart, and receive configurations late, so that they hold different versions.
 */
import type { Configuration } from '../../src/configuration.js'
import type { Engine } from '../../src/create-engine.js'
import type { Event } from '../../src/event.js'
import fc from 'fast-check'
import { expect, it, vi } from 'vitest'
import { createEngine } from '../../src/create-engine.js'
import { CONFIGURATION, SERVICE, createHeartbeat, listedEntryInstance, listedUpstream, createLocalInstance } from '../fixtures.js'

const CAP = 0.25
const INSTANCES = 3
const ROUTES = [{ method: '*', prefix: '/', kind: 'repeatable', length: 'short' }] as const

/** The versions differ only in values that have no effect on the shift cap. */
function configurationOf (version: number): Configuration {
  return {
    ...CONFIGURATION,
    version,
    services: [{ ...SERVICE, slots: 3, coldStartMs: 0, deadlineMs: 100 + 50 * (version % 3), routes: ROUTES }],
    rules: [{ service: 'tokens', scope: 'region', shiftCap: CAP, longShare: 1 / version }]
  }
}

const REMOTE = createLocalInstance('far', 'z3')
const remoteHeartbeat: Event = {
  type: 'heartbeat-received',
  heartbeat: createHeartbeat(REMOTE, { configurationVersion: 1, headroom: [{ service: 'tokens', free: 1_000, slots: 1_000, queued: 0 }] })
}

function startEngine (index: number, version: number): Engine {
  const engine = createEngine({ self: { ...createLocalInstance(`i${index}`, 'z1'), incarnation: `${index}-${performance.now()}` }, seed: index })
  engine.handle({ type: 'configuration-received', configuration: configurationOf(version), source: 'platform' })
  engine.handle({ type: 'list-received', entries: [listedEntryInstance('far', 'z3'), listedUpstream('u1', 'z1')] })
  engine.handle(remoteHeartbeat)
  return engine
}

const step = fc.oneof(
  { weight: 20, arbitrary: fc.record({ type: fc.constant('request' as const), instance: fc.constantFrom(0, 0, 0, 0, 0, 1, 1, 2), afterMs: fc.nat(20) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('refuse' as const), instance: fc.nat(INSTANCES - 1), afterMs: fc.nat(20) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('configure' as const), instance: fc.nat(INSTANCES - 1), afterMs: fc.nat(500) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), instance: fc.nat(INSTANCES - 1), afterMs: fc.nat(3_000) }) }
)

it('keeps a zone\'s shifted traffic within the cap, guarding against instances whose shifts together exceed it', () => {
  let mostMoved = 0
  fc.assert(fc.property(fc.array(step, { minLength: 60, maxLength: 300 }), steps => {
    const engines = Array.from({ length: INSTANCES }, (_, index) => startEngine(index, 1))
    const versions = engines.map(() => 1)
    const forwards = engines.map((): string[] => [])
    let requests = 0
    const moved = new Set<string>()
    const handleEvent = (index: number, event: Event): void => {
      for (const command of engines[index]!.handle(event)) {
        if (command.type !== 'forward') continue
        moved.add(command.requestId)
        forwards[index]!.push(command.attemptId)
      }
    }
    for (const { type, instance, afterMs } of steps) {
      vi.advanceTimersByTime(afterMs)
      for (const index of engines.keys()) {
        handleEvent(index, remoteHeartbeat)
        handleEvent(index, { type: 'tick' })
      }
      if (type === 'request') {
        requests += 1
        handleEvent(instance, { type: 'request-arrived', requestId: `r${requests}`, service: 'tokens', method: 'GET', path: '/' })
      } else if (type === 'refuse') {
        // A request whose forward is refused is placed again. It must still count as moved, and only once.
        const attemptId = forwards[instance]!.shift()
        if (attemptId !== undefined) handleEvent(instance, { type: 'attempt-refused', attemptId, proof: 'shed' })
      } else if (type === 'configure') {
        versions[instance]! += 1
        handleEvent(instance, { type: 'configuration-received', configuration: configurationOf(versions[instance]!), source: 'peer' })
      } else {
        engines[instance] = startEngine(instance, versions[instance]!)
        forwards[instance] = []
      }
      expect(moved.size).toBeLessThanOrEqual(CAP * requests + 1e-9)
    }
    mostMoved = Math.max(mostMoved, moved.size / requests)
  }))
  // The property above would also hold if no request ever moved.
  expect(mostMoved).toBeGreaterThan(CAP / 2)
})
