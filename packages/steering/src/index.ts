/**
 * Steering engine of an instance that connects directly to the upstreams of all zones, with the instance directory, the
 * choice of the store's readers and the phases of a shutdown. See `steering.ts` for how it differs from the core package.
 */
export * from './admission.js'
export * from './command.js'
export * from './deployment.js'
export * from './event.js'
export * from './peer-selection.js'
export * from './placement.js'
export * from './quota-share.js'
export * from './refusal.js'
export * from './route-index.js'
export * from './steering.js'
export * from './store-readers.js'
export * from './team-index.js'
export * from './team-quota.js'
export * from './upstream.js'
export * from './upstream-statements.js'
export * from './upstream-table.js'
export * from './instance-directory.js'
export * from './intake-policy.js'
export * from './stop-schedule.js'
export * from './team-quota.js'
