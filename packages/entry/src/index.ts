export * from './entry-instance.js'
export type { Emit } from './event-queue.js'
export { toHeartbeatMessage } from './heartbeat-message.js'
