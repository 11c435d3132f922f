import { expect, it, onTestFinished, vi } from 'vitest'
import { createSteering } from '../../../examples/embedding/steer.js'
import type { Run } from '../../../examples/embedding/steer.js'

function createGet (run: Run): (path: string) => Promise<string> {
  const { get, close } = createSteering(run)
  onTestFinished(close)
  return get
}

it('serves a request through the embedding example, guarding against an example that lags behind the public API', async () => {
  expect(await createGet(async () => 'balance 7')('/balance')).toBe('served home-zone balance 7')
})

it('retries on the other upstream after a failure, guarding against an example that reports attempts wrongly', async () => {
  const tried: string[] = []
  const get = createGet(async id => {
    tried.push(id)
    if (tried.length === 1) throw new Error('connection lost')
    return id
  })
  expect(await get('/balance')).toBe(`served home-zone ${tried[1]}`)
  expect(new Set(tried).size).toBe(2)
})

it('answers when the deadline passes, guarding against an example that sends no ticks', async () => {
  const answer = createGet(async () => await new Promise(() => {}))('/balance')
  await vi.advanceTimersByTimeAsync(1_100)
  expect(await answer).toBe('unknown deadline-passed')
})
