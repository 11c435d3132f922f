import type { ServerResponse } from 'node:http'
import { EventEmitter } from 'node:events'
import { expect, it } from 'vitest'
import { Answer } from '../src/answer.js'
import { createAnswerMemory } from '../src/answer-memory.js'

/** Response whose written data is sent when `send` is called. */
class PendingResponse extends EventEmitter {
  readonly socket = null
  hasEnded = false
  bytes = 0
  #unsent: Array<() => void> = []

  writeHead (): void {}

  write (data: Buffer | string, onSent?: () => void): boolean {
    this.bytes += data.length
    if (onSent !== undefined) this.#unsent.push(onSent)
    return true
  }

  end (data?: Buffer): void {
    this.bytes += data?.length ?? 0
    this.hasEnded = true
  }

  send (): void {
    for (const onSent of this.#unsent.splice(0)) onSent()
  }
}

function createAnswer (): Answer {
  return new Answer({
    status: 200, headers: [], isCloseDelimited: false, memory: createAnswerMemory(), pause: () => {}, resume: () => {}, onAbandoned: () => {}
  })
}

it.each([
  ['buffered', (answer: Answer, response: ServerResponse) => {
    answer.end()
    answer.relay(response, [])
  }],
  ['streamed', (answer: Answer, response: ServerResponse) => {
    answer.relay(response, [])
    answer.end()
  }]
])('does not end a large %s answer before it is sent, guarding against a stop that closes its connection as idle', (_name, finish) => {
  const response = new PendingResponse()
  const answer = createAnswer()
  answer.write(Buffer.alloc(200_000))
  finish(answer, response as unknown as ServerResponse)
  expect({ bytes: response.bytes, hasEnded: response.hasEnded }).toEqual({ bytes: 200_000, hasEnded: false })
  response.send()
  expect(response.hasEnded).toBe(true)
})

it('ends a small answer with its only write', () => {
  const response = new PendingResponse()
  const answer = createAnswer()
  answer.write(Buffer.alloc(9_000))
  answer.end()
  answer.relay(response as unknown as ServerResponse, [])
  expect({ bytes: response.bytes, hasEnded: response.hasEnded }).toEqual({ bytes: 9_000, hasEnded: true })
})
