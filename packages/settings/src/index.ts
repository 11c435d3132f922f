export * from './configuration-file.js'
export * from './entry-settings.js'
export * from './parse-settings.js'
export * from './settings-error.js'
