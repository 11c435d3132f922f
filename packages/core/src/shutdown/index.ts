export * from './shutdown-system.js'
