export * from './create-cli.js'
export * from './difference.js'
export * from './exit-code.js'
export * from './operator-client.js'
