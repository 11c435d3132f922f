import type { Event } from '@arbutustray/core'
import { expect, it } from 'vitest'
import { EventQueue } from '../src/event-queue.js'

it('delivers attempt-written before queued events, guarding against reporting a written request as not run', () => {
  const queue = new EventQueue()
  const seen: string[] = []
  queue.stream.observe((event: Event) => {
    seen.push(event.type)
    // Executes a dispatch that undici writes at once, while the caller's cancellation is already queued.
    if (event.type === 'request-arrived') {
      queue.push({ type: 'request-cancelled', requestId: 'r1' })
      queue.runCommand(() => queue.push({ type: 'attempt-written', attemptId: 'a1' }))
    }
  })
  queue.push({ type: 'request-arrived', requestId: 'r1', service: 's', method: 'GET', path: '/' })
  expect(seen).toEqual(['request-arrived', 'attempt-written', 'request-cancelled'])
})

it('delivers the events of a command after all commands of a tick, guarding against commands out of order', async () => {
  const queue = new EventQueue()
  const seen: string[] = []
  queue.stream.observe((event: Event) => { seen.push(event.type) })
  queue.runCommand(() => queue.push({ type: 'attempt-refused', attemptId: 'a1', proof: 'not-written' }))
  seen.push('second command')
  await Promise.resolve()
  expect(seen).toEqual(['second command', 'attempt-refused'])
})
