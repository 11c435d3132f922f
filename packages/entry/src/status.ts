/**
 * Reads the state of the instance from the engine for `GET /v1/status`, and updates the gauges of its metrics.
 */
import type { Engine, Headroom } from '@arbutustray/core'
import type { Metrics } from '@arbutustray/telemetry'

/** Body of `GET /v1/status`. */
export interface Status {
  readonly instanceId: string
  readonly zone: string
  readonly version: number
  /** `starting` until a configuration is known. */
  readonly state: 'starting' | 'ready' | 'leaving'
  readonly instances: ReadonlyArray<{
    readonly id: string, readonly zone: string, readonly state: string, readonly version: number
  }>
  readonly upstreams: ReadonlyArray<{
    readonly id: string, readonly service: string, readonly zone: string, readonly state: string, readonly outstanding: number
  }>
  readonly headroom: readonly Headroom[]
}

/** Reads the status from the engine's tables. */
export function readStatus (engine: Engine): Status {
  const { self, instances, upstreams, attempts, stoppingSince } = engine.world
  const configuration = engine.configuration()
  const outstanding = countBy([...attempts.values()].map(attempt => attempt.target.id))
  return {
    instanceId: self.id,
    zone: self.zone,
    version: configuration?.version ?? 0,
    state: stoppingSince !== undefined ? 'leaving' : configuration === undefined ? 'starting' : 'ready',
    instances: [...instances.values()].map(row => ({
      id: row.id, zone: row.zone, state: row.state, version: row.configurationVersion
    })),
    upstreams: [...upstreams.values()].map(row => ({
      id: row.id, service: row.service, zone: row.zone, state: row.state, outstanding: outstanding.get(row.id) ?? 0
    })),
    headroom: engine.heartbeat().headroom
  }
}

/** Updates the gauges from the engine's tables. */
export function updateGauges (engine: Engine, metrics: Metrics): void {
  const { requests, attempts, instances } = engine.world
  const queued = [...requests.values()].filter(request => request.state === 'queued').map(request => request.service)
  const services = [...attempts.values()].map(attempt => requests.get(attempt.requestId)?.service ?? 'unknown')
  const states = [...instances.values()].map(instance => instance.state)
  metrics.replace('arbutustray_queue_length', [...countBy(queued)].map(([service, count]) => [{ service }, count]))
  metrics.replace('arbutustray_outstanding_attempts', [...countBy(services)].map(([service, count]) => [{ service }, count]))
  metrics.replace('arbutustray_configuration_version', [[{}, engine.configuration()?.version ?? 0]])
  metrics.replace('arbutustray_peers', [...countBy(states)].map(([state, count]) => [{ state }, count]))
}

function countBy (values: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1)
  return counts
}
