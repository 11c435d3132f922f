export * from './daemon.js'
export type { Emit } from './event-source.js'
