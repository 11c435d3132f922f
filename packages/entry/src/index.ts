export * from './daemon.js'
export type { Emit } from './event-source.js'
export { toMessage } from './heartbeat-message.js'
