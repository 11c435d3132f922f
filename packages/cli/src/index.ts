export * from './create-cli.js'
export * from './diff-configuration.js'
export * from './exit-code.js'
export * from './operator-client.js'
