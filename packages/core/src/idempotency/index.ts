export * from './key-store.js'
export * from './key-text.js'
