/**
 * Simulates an upstream with a limited number of slots, slow periods and a cold cache after a restart. When all slots
 * are in use it either sheds or queues new work.
 */
import type { SlowPeriod } from './trace.js'
import type { VirtualTime } from './virtual-time.js'
import { SLOWDOWN_FACTOR } from './trace.js'

export interface SimulatedUpstreamOptions {
  readonly id: string
  readonly service: string
  readonly zone: string
  readonly slots: number
  readonly slowPeriods: readonly SlowPeriod[]
  readonly whenFull: 'shed' | 'queue'
}

/** A request at an upstream. Either `onShed` is called, or `onStart` and then `onDone`, unless it is cancelled or lost. */
export interface Work {
  readonly workMs: number
  /** Called when the work gets a slot. */
  readonly onStart: () => void
  readonly onDone: () => void
  readonly onShed: () => void
}

export interface SimulatedUpstream {
  readonly id: string
  readonly service: string
  readonly zone: string
  readonly slots: number
  /** Number of occupied slots. */
  readonly running: () => number
  /** Number of requests shed since creation. */
  readonly shed: () => number
  /** Number of requests started since creation. */
  readonly started: () => number
  readonly accept: (work: Work) => void
  readonly cancel: (work: Work) => void
  /** Stops the upstream and returns the work that is lost. */
  readonly crash: () => readonly Work[]
  /** Restarts the upstream with a cold cache. */
  readonly restart: () => void
  readonly alive: () => boolean
}

/** Factor by which work takes longer while the cache is cold. */
const COLD_SLOWDOWN = 2
const COLD_PERIOD_MS = 3_000

/** Returns the time at which work that starts at `start` ends, given the slow periods in order of time. */
export function finishTime (slowPeriods: readonly SlowPeriod[], start: number, workMs: number): number {
  let at = start
  let remainingMs = workMs
  for (const slowPeriod of slowPeriods) {
    if (slowPeriod.to <= at) continue
    if (slowPeriod.from > at) {
      const normalMs = slowPeriod.from - at
      if (remainingMs <= normalMs) return at + remainingMs
      remainingMs -= normalMs
      at = slowPeriod.from
    }
    const slowMs = (slowPeriod.to - at) / SLOWDOWN_FACTOR
    if (remainingMs <= slowMs) return at + remainingMs * SLOWDOWN_FACTOR
    remainingMs -= slowMs
    at = slowPeriod.to
  }
  return at + remainingMs
}

/** Creates a running upstream on virtual time. */
export function createSimulatedUpstream (time: VirtualTime, options: SimulatedUpstreamOptions): SimulatedUpstream {
  const running = new Set<Work>()
  const queue: Work[] = []
  let shed = 0
  let started = 0
  let alive = true
  let coldUntil = 0

  function start (work: Work): void {
    running.add(work)
    started += 1
    work.onStart()
    const workMs = time.now() < coldUntil ? work.workMs * COLD_SLOWDOWN : work.workMs
    time.after(finishTime(options.slowPeriods, time.now(), workMs) - time.now(), () => {
      if (!running.delete(work)) return
      work.onDone()
      startNextQueued()
    })
  }

  function startNextQueued (): void {
    const next = queue.shift()
    if (next !== undefined) start(next)
  }

  function refuse (work: Work): void {
    shed += 1
    work.onShed()
  }

  return {
    id: options.id,
    service: options.service,
    zone: options.zone,
    slots: options.slots,
    running: () => running.size,
    shed: () => shed,
    started: () => started,
    alive: () => alive,
    accept: work => {
      if (running.size < options.slots) start(work)
      else if (options.whenFull === 'queue') queue.push(work)
      else refuse(work)
    },
    cancel: work => {
      if (running.delete(work)) startNextQueued()
    },
    crash: () => {
      const lost = [...running, ...queue]
      running.clear()
      queue.length = 0
      alive = false
      return lost
    },
    restart: () => {
      alive = true
      coldUntil = time.now() + COLD_PERIOD_MS
    }
  }
}
