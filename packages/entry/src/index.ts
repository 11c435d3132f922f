export * from './daemon.js'
export * from './settings.js'
