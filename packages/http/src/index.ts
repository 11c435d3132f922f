export * from './address.js'
export * from './hop-by-hop.js'
