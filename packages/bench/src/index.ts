export * from './policy/virtual-time.js'
