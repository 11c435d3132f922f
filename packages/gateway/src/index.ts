export * from './dialect.js'
export * from './gateway.js'
export * from './gateway-settings.js'
export * from './store-replica.js'
