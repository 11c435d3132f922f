/**
 * An entry instance built on the steering package: `startGateway` starts it, and the caller supplies the `Dialect` and
 * writes the store's contents to the `StoreReplica`.
 */
export * from './abortive-close.js'
export * from './dialect.js'
export * from './gateway.js'
export * from './gateway-settings.js'
export * from './store-replica.js'
