import type { Event } from '@arbutustray/core'
import { expect, it } from 'vitest'
import { EventQueue } from '../src/event-queue.js'

it('reports a write before events that wait, guarding against a cancelled request that counts as not run', () => {
  const source = new EventQueue()
  const seen: string[] = []
  source.stream.observe((event: Event) => {
    seen.push(event.type)
    // Carries out a dispatch that undici writes at once, while the caller's cancellation is already waiting.
    if (event.type === 'request-arrived') {
      source.push({ type: 'request-cancelled', requestId: 'r1' })
      source.runCommand(() => source.push({ type: 'attempt-written', attemptId: 'a1' }))
    }
  })
  source.push({ type: 'request-arrived', requestId: 'r1', service: 's', method: 'GET', path: '/' })
  expect(seen).toEqual(['request-arrived', 'attempt-written', 'request-cancelled'])
})

it('lets events of a command wait until all commands are carried out, guarding against commands out of order', async () => {
  const source = new EventQueue()
  const seen: string[] = []
  source.stream.observe((event: Event) => { seen.push(event.type) })
  source.runCommand(() => source.push({ type: 'attempt-refused', attemptId: 'a1', proof: 'not-written' }))
  seen.push('second command')
  await Promise.resolve()
  expect(seen).toEqual(['second command', 'attempt-refused'])
})
