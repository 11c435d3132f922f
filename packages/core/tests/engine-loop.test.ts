import type { Event } from '../src/event.js'
import { from, merge, never } from 'most'
import { describe, expect, it, vi } from 'vitest'
import { startEngineLoop, TICK_PERIOD_MS } from '../src/engine-loop.js'

interface StartedLoop { readonly seen: string[], readonly executed: string[], readonly errors: Error[], readonly stop: () => void }

function startLoop (events: readonly Event[], onEvent: (event: Event) => void = () => {}): StartedLoop {
  const seen: string[] = []
  const executed: string[] = []
  const errors: Error[] = []
  const { stop } = startEngineLoop({
    engine: {
      handle: event => {
        onEvent(event)
        seen.push(event.type)
        return event.type === 'stop-requested' ? [{ type: 'cancel-attempt', attemptId: 'a1' }, { type: 'stopped' }] : []
      }
    },
    events: merge(from([...events]), never()),
    execute: command => executed.push(command.type),
    onError: error => errors.push(error)
  })
  return { seen, executed, errors, stop }
}

describe('runLoop', () => {
  it('passes events and ticks to the engine and executes its commands until it is stopped', async () => {
    const loop = startLoop([{ type: 'stop-requested' }])
    await vi.advanceTimersByTimeAsync(10 * TICK_PERIOD_MS)
    expect(loop.seen).toContain('stop-requested')
    expect(loop.executed).toEqual(['cancel-attempt', 'stopped'])
    const ticks = loop.seen.filter(type => type === 'tick').length
    expect(ticks).toBeGreaterThanOrEqual(9)
    loop.stop()
    await vi.advanceTimersByTimeAsync(10 * TICK_PERIOD_MS)
    expect(loop.seen.filter(type => type === 'tick')).toHaveLength(ticks)
  })

  it('drops the ticks missed in a pause, guarding against a burst of ticks that delays requests', async () => {
    const loop = startLoop([])
    await vi.advanceTimersByTimeAsync(5 * TICK_PERIOD_MS)
    const before = loop.seen.length
    // The clock advances while no timer runs, as in a paused process.
    vi.setSystemTime(Date.now() + 60_000)
    await vi.advanceTimersByTimeAsync(TICK_PERIOD_MS)
    expect(loop.seen.length - before).toBeLessThanOrEqual(2)
    loop.stop()
  })

  it('ends and reports an error of the engine, guarding against a loop that continues with inconsistent tables', async () => {
    const loop = startLoop([{ type: 'stop-requested' }], event => {
      if (event.type === 'stop-requested') throw new Error('fault')
    })
    await vi.advanceTimersByTimeAsync(10 * TICK_PERIOD_MS)
    expect(loop.errors.map(error => error.message)).toEqual(['fault'])
    expect(loop.seen).toEqual([])
  })
})
