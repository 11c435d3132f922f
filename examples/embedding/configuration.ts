/**
 * Configuration and instance list of the example. A real program reads them from a platform, see
 * `packages/object-store`.
 */
import type { Configuration, ListedInstance } from '@arbutustray/core'
import { EMPTY_CONFIGURATION } from '@arbutustray/core'

/** One service in one zone. */
export const CONFIGURATION: Configuration = {
  ...EMPTY_CONFIGURATION,
  version: 1,
  regions: [{ id: 'zagreb' }],
  zones: [{ id: 'zagreb-1', region: 'zagreb', instances: 1 }],
  services: [{
    id: 'token',
    slots: 2,
    connections: 10,
    deadlineMs: 1_000,
    maxBodyBytes: 1_024,
    refusalHeader: 'x-load-shed',
    coldStartMs: 0,
    routes: [{ method: 'GET', prefix: '/', kind: 'repeatable', length: 'short' }]
  }],
  places: [{ service: 'token', zone: 'zagreb-1' }]
}

/** The upstreams, in the form of the platform's instance list. */
export const LIST = ['u1', 'u2'].map((id): ListedInstance =>
  ({ id, role: 'upstream', service: 'token', zone: 'zagreb-1', address: `${id}:80`, state: 'live' }))
