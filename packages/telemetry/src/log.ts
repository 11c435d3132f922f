/**
 * Writes log events as JSON lines.
 */
import { createLogger, format, transports } from 'winston'
import { LOG_EVENTS } from './log-event.js'
import type { LogEvent, LogEventId, LogFields, LogLevel } from './log-event.js'

/** Logs one event with its fields. */
export type Log = <Id extends LogEventId>(id: Id, fields: LogFields<Id>) => void

export interface LogOptions {
  readonly level: LogLevel
  /** Receives the lines; standard output if absent. */
  readonly stream?: NodeJS.WritableStream
}

/** Creates a log. Each line is an object with `id`, `number`, `level`, `at`, `message` and `fields`. */
export function createLog (options: LogOptions): Log {
  const logger = createLogger({
    level: options.level,
    format: format.json(),
    transports: [new transports.Stream({ stream: options.stream ?? process.stdout })]
  })
  return (id, fields) => {
    const event: LogEvent = LOG_EVENTS[id]
    if (!logger.isLevelEnabled(event.level)) return
    const values: Readonly<Record<string, string | number | boolean>> = fields
    logger.log({
      level: event.level,
      id,
      number: event.number,
      at: new Date().toISOString(),
      message: formatMessage(event.message, values),
      fields: Object.fromEntries(event.fields.map(name => [name, values[name]]))
    })
  }
}

function formatMessage (template: string, values: Readonly<Record<string, string | number | boolean>>): string {
  return template.replace(/\{(\w+)\}/g, (placeholder, name: string) => String(values[name] ?? placeholder))
}
