/**
 * A log that limits its lines per second and never blocks the process. Lines above the limit are dropped, and so are
 * lines that arrive while the output's buffer is full. A `lines-dropped` event reports how many were dropped.
 */
import { fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import { Writable } from 'node:stream'
import { createLog } from './log.js'
import type { Log } from './log.js'
import type { LogEventId, LogLevel } from './log-event.js'

export interface RateLimitedLogOptions {
  readonly level: LogLevel
  /** Limit of lines per second for all routine events together. */
  readonly routinePerSecond: number
  /** Limit of lines per second for all other events together. */
  readonly exceptionalPerSecond: number
  /** Events of normal operation, such as served requests. Their own limit keeps them from crowding out other events. */
  readonly routineEvents: ReadonlySet<LogEventId>
  /** Receives the lines; standard output if absent. */
  readonly output?: Writable
}

export interface RateLimitedLog {
  readonly log: Log
  /** Stops the timer that reports dropped lines. The log can still be used. */
  readonly close: () => void
}

/** Lines are dropped while the output's buffer holds more than this. */
const MAX_OUTPUT_BUFFER_BYTES = 262_144
const RATE_WINDOW_MS = 1_000
const STDOUT_FD = 1

/**
 * Opens standard output as a stream that does not block. `process.stdout` writes synchronously to a pipe or socket, so
 * a slow reader would stall the process.
 */
function openStandardOutput (): Writable {
  const stats = fstatSync(STDOUT_FD)
  if (!stats.isFIFO() && !stats.isSocket()) return process.stdout
  const socket = new Socket({ fd: STDOUT_FD, readable: false, writable: true })
  // Without a listener, the error of a reader that has gone away would end the process.
  socket.on('error', () => {})
  socket.unref()
  return socket
}

/** Creates a log that counts the lines of routine and other events in windows of one second. */
export function createRateLimitedLog (options: RateLimitedLogOptions): RateLimitedLog {
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
      const isRoutine = options.routineEvents.has(id)
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
