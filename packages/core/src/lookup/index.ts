export * from './block-table.js'
export * from './client-origin.js'
export * from './lookup.js'
