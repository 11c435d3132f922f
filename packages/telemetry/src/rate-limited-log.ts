/**
 * A log whose volume is bounded and which never blocks: lines beyond the rate of their class are dropped and counted,
 * and so are lines that standard output does not take at once.
 */
import { fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import { Writable } from 'node:stream'
import { createLog } from './log.js'
import type { Log } from './log.js'
import type { LogEventId, LogLevel } from './log-event.js'

export interface RateLimitedLogOptions {
  readonly level: LogLevel
  /** Lines per second of the events that are the rule, such as served requests. */
  readonly routinePerSecond: number
  /** Lines per second of all other events. */
  readonly exceptionalPerSecond: number
  /** Events that are the rule. */
  readonly routine: ReadonlySet<LogEventId>
  /** Receives the lines; standard output if absent. */
  readonly output?: Writable
}

export interface BoundedLog {
  readonly log: Log
  /** Ends the counting; lines may still be written. */
  readonly close: () => void
}

/** Bytes that may wait for standard output. */
const MAX_OUTPUT_BUFFER_BYTES = 262_144
const RATE_WINDOW_MS = 1_000
const STDOUT_FD = 1

/** Standard output as a stream that does not block when it is a pipe, as `process.stdout` does. */
function openStandardOutput (): Writable {
  const stats = fstatSync(STDOUT_FD)
  if (!stats.isFIFO() && !stats.isSocket()) return process.stdout
  const socket = new Socket({ fd: STDOUT_FD, readable: false, writable: true })
  // A reader that is gone must not end the process.
  socket.on('error', () => {})
  socket.unref()
  return socket
}

export function createBoundedLog (options: RateLimitedLogOptions): BoundedLog {
  const output = options.output ?? openStandardOutput()
  let windowStart = performance.now()
  let routineLines = 0
  let exceptionalLines = 0
  let droppedLines = 0
  let blockedLines = 0

  const sink = new Writable({
    decodeStrings: false,
    write (line: string | Buffer, _encoding, done) {
      if (output.writableLength > MAX_OUTPUT_BUFFER_BYTES) {
        droppedLines += 1
        blockedLines += 1
      } else output.write(line)
      done()
    }
  })
  const writeEvent = createLog({ level: options.level, stream: sink })

  function startNextWindowIfDue (): void {
    const now = performance.now()
    if (now - windowStart < RATE_WINDOW_MS) return
    windowStart = now
    const drops = { count: droppedLines, blocked: blockedLines }
    routineLines = exceptionalLines = droppedLines = blockedLines = 0
    if (drops.count > 0) writeEvent('lines-dropped', drops)
  }

  const timer = setInterval(startNextWindowIfDue, RATE_WINDOW_MS).unref()
  return {
    log: (id, fields) => {
      startNextWindowIfDue()
      const isRoutine = options.routine.has(id)
      const linesInWindow = isRoutine ? ++routineLines : ++exceptionalLines
      if (linesInWindow > (isRoutine ? options.routinePerSecond : options.exceptionalPerSecond)) {
        droppedLines += 1
        return
      }
      writeEvent(id, fields)
    },
    close: () => clearInterval(timer)
  }
}
