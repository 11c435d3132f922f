export * from './key-store.js'
export * from './key-format.js'
