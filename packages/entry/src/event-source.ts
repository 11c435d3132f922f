/**
 * The stream of events from sockets. Events that come while another one is handled, or while a command is carried
 * out, wait until that is done, so that the engine's commands are carried out in order.
 */
import type { Event } from '@arbutustray/core'
import { Stream } from 'most'
import type { Disposable, Scheduler, Sink, Source } from 'most'

/** Hands an event to the engine. */
export type Emit = (event: Event) => void

/** A stream whose events are pushed from outside. */
export class EventSource implements Source<Event> {
  readonly stream: Stream<Event> = new Stream(this)
  readonly #waiting: Event[] = []
  #sink: Sink<Event> | undefined
  #scheduler: Scheduler | undefined
  #draining = false
  #busy = false

  run (sink: Sink<Event>, scheduler: Scheduler): Disposable<Event> {
    this.#sink = sink
    this.#scheduler = scheduler
    return { dispose: () => { this.#sink = undefined } }
  }

  push (event: Event): void {
    // A write has already happened. An event that waits must not be judged as if it had not, because then a request
    // that may have run could be reported as not run.
    if (event.type === 'attempt-written') this.#waiting.unshift(event)
    else this.#waiting.push(event)
    if (this.#draining) return
    // Commands of a tick do not run inside `#drain`; their events follow when all of them are carried out.
    if (this.#busy) queueMicrotask(() => this.#drain())
    else this.#drain()
  }

  /** Carries out a command; its events wait. */
  hold (run: () => void): void {
    this.#busy = true
    try {
      run()
    } finally {
      this.#busy = false
    }
  }

  #drain (): void {
    if (this.#draining) return
    this.#draining = true
    for (let event = this.#waiting.shift(); event !== undefined; event = this.#waiting.shift()) {
      this.#sink?.event(this.#scheduler?.now() ?? 0, event)
    }
    this.#draining = false
  }
}
