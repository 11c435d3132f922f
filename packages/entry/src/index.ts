export * from './entry-instance.js'
export type { Emit } from './event-queue.js'
export { toMessage } from './heartbeat-message.js'
