/**
 * The one loop of the daemon: events from sockets and the tick go through one stream into the engine, and the
 * commands that it returns are carried out in order before the next event is handled.
 */
import { Stream, periodic } from 'most'
import type { Scheduler, Sink, Source } from 'most'
import type { Command, Engine, Event } from '@arbutustray/core'

/** Period of the `tick` event. */
export const TICK_MS = 10

/** Hands an event to the engine. Events that come while another is handled are handled after it. */
export type Emit = (event: Event) => void

export interface EventLoop {
  readonly emit: Emit
  /** Ends the ticks. Events are still handled. */
  readonly stop: () => void
}

export interface EventLoopOptions {
  readonly engine: Pick<Engine, 'handle'>
  readonly execute: (command: Command) => void
  /** Told of an exception; the loop goes on, because other requests must not be lost with the one at fault. */
  readonly onFault: (event: Event, error: unknown) => void
}

/** A source of events that are pushed from outside. */
class EventSource implements Source<Event> {
  readonly #waiting: Event[] = []
  #sink: Sink<Event> | undefined
  #scheduler: Scheduler | undefined
  #draining = false

  run (sink: Sink<Event>, scheduler: Scheduler): { dispose: () => void } {
    this.#sink = sink
    this.#scheduler = scheduler
    return { dispose: () => { this.#sink = undefined } }
  }

  push (event: Event): void {
    this.#waiting.push(event)
    if (this.#draining || this.#sink === undefined || this.#scheduler === undefined) return
    this.#draining = true
    for (let next = this.#waiting.shift(); next !== undefined; next = this.#waiting.shift()) {
      this.#sink.event(this.#scheduler.now(), next)
    }
    this.#draining = false
  }
}

/** Starts the loop. */
export function startEventLoop (options: EventLoopOptions): EventLoop {
  const source = new EventSource()
  const guarded = <T> (event: Event, run: () => T): T | undefined => {
    try {
      return run()
    } catch (error) {
      options.onFault(event, error)
      return undefined
    }
  }
  const handle = (event: Event): void => {
    const commands = guarded(event, () => options.engine.handle(event))
    for (const command of commands ?? []) guarded(event, () => options.execute(command))
  }
  new Stream(source).observe(handle)
  let ticking = true
  periodic(TICK_MS).takeWhile(() => ticking).observe(() => source.push({ type: 'tick' }))
  return {
    emit: event => source.push(event),
    stop: () => { ticking = false }
  }
}
