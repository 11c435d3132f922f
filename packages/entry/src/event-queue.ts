/**
 * Queues the events of the process for the engine's loop. Events that are pushed while another event is handled or a
 * command is executed are delivered afterwards, so that the engine's commands are executed in order.
 */
import type { Event } from '@arbutustray/core'
import { Stream } from 'most'
import type { Disposable, Scheduler, Sink, Source } from 'most'

/** Passes an event to the engine. */
export type Emit = (event: Event) => void

/** Source of a `most` stream whose events are added by `push`. */
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
    // The request has already been written. The engine must handle this before the events that are still queued;
    // otherwise it could report a request as not run that may have been executed.
    if (event.type === 'attempt-written') this.#queue.unshift(event)
    else this.#queue.push(event)
    if (this.#isDraining) return
    // Commands of a tick are not executed inside `#drain`; their events are delivered after the last of them.
    if (this.#isRunningCommand) queueMicrotask(() => this.#drain())
    else this.#drain()
  }

  /** Executes a command and queues the events that it emits. */
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
