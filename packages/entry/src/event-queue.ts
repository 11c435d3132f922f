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
export class EventQueue implements Source<Event> {
  readonly stream: Stream<Event> = new Stream(this)
  readonly #queue: Event[] = []
  #sink: Sink<Event> | undefined
  #scheduler: Scheduler | undefined
  #isDraining = false
  #isRunningCommand = false

  run (sink: Sink<Event>, scheduler: Scheduler): Disposable<Event> {
    this.#sink = sink
    this.#scheduler = scheduler
    return { dispose: () => { this.#sink = undefined } }
  }

  push (event: Event): void {
    // A write has already happened. An event that waits must not be judged as if it had not, because then a request
    // that may have run could be reported as not run.
    if (event.type === 'attempt-written') this.#queue.unshift(event)
    else this.#queue.push(event)
    if (this.#isDraining) return
    // Commands of a tick do not run inside `#drain`; their events follow when all of them are carried out.
    if (this.#isRunningCommand) queueMicrotask(() => this.#drain())
    else this.#drain()
  }

  /** Carries out a command; its events wait. */
  runCommand (run: () => void): void {
    this.#isRunningCommand = true
    try {
      run()
    } finally {
      this.#isRunningCommand = false
    }
  }

  #drain (): void {
    if (this.#isDraining) return
    this.#isDraining = true
    for (let event = this.#queue.shift(); event !== undefined; event = this.#queue.shift()) {
      this.#sink?.event(this.#scheduler?.now() ?? 0, event)
    }
    this.#isDraining = false
  }
}
