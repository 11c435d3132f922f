/**
 * Reads the load reports of the own zone's upstreams once a second.
 */
import type { Engine, Upstream } from '@arbutustray/core'
import type { Telemetry } from '@arbutustray/telemetry'
import { Agent, request } from 'undici'
import { z } from 'zod'
import type { Emit } from './event-source.js'

const PERIOD_MS = 1_000

/** Reports that are read at the same time. */
const PARALLEL = 8

/** A report that takes longer is skipped; the next period tries again. */
const TIMEOUT_MS = 800

/** An upstream that answers with more than a report costs no more than this, in bytes. */
const MAX_REPORT_BYTES = 65_536

const LoadReport = z.object({ active: z.number().min(0), queued: z.number().min(0), at: z.union([z.number(), z.string()]) })

/** When this process first saw the newest report of an upstream. */
interface Sighting {
  readonly at: number | string
  readonly seenAt: number
}

export interface LoadPoll {
  readonly stop: () => Promise<void>
}

export interface LoadPollOptions {
  readonly engine: Engine
  readonly emit: Emit
  readonly telemetry: Telemetry
}

/** Starts the reading. */
export function startLoadPoll ({ engine, emit, telemetry }: LoadPollOptions): LoadPoll {
  const agent = new Agent({ connections: 1, maxResponseSize: MAX_REPORT_BYTES, connect: { timeout: TIMEOUT_MS } })
  const sightings = new Map<string, Sighting>()
  let running = false

  async function read (upstream: Upstream): Promise<void> {
    const sentAt = performance.now()
    const { statusCode, body } = await request(`http://${upstream.address}/load`, {
      dispatcher: agent, signal: AbortSignal.timeout(TIMEOUT_MS)
    })
    const value = await body.json()
    if (statusCode !== 200) throw new Error(`status ${statusCode}`)
    const { active, queued, at } = LoadReport.parse(value)
    const now = performance.now()
    // `at` is on the upstream's clock: only its change is compared, never its value.
    const known = sightings.get(upstream.id)
    const sighting = known?.at === at ? known : { at, seenAt: now }
    sightings.set(upstream.id, sighting)
    const ageMs = now - sighting.seenAt + (now - sentAt) / 2
    emit({ type: 'upstream-reported', upstreamId: upstream.id, active, queued, ageMs })
  }

  async function readAll (): Promise<void> {
    const { self, upstreams } = engine.world
    const waiting = [...upstreams.values()].filter(row => row.zone === self.zone && row.state === 'live')
    for (const id of sightings.keys()) if (!upstreams.has(id)) sightings.delete(id)
    const worker = async (): Promise<void> => {
      for (let next = waiting.pop(); next !== undefined; next = waiting.pop()) {
        const { id } = next
        await read(next).catch(error => telemetry.log('load-unread', { upstreamId: id, error: String(error) }))
      }
    }
    await Promise.all(Array.from({ length: PARALLEL }, worker))
  }

  const timer = setInterval(() => {
    if (running) return
    running = true
    readAll().finally(() => { running = false }).catch(() => {})
  }, PERIOD_MS).unref()

  return {
    stop: async () => {
      clearInterval(timer)
      await agent.destroy()
    }
  }
}
