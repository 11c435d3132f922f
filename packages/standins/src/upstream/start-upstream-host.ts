/**
 * Hosts many upstream stand-ins in one process. Each has a port of its own; one control port serves all.
 *
 * Control port: `GET /upstreams` lists the upstreams in the format of the platform's instance list; `GET /runs` returns
 * the run logs of all; `POST /drain {id, refuseAfterMs?}` starts a drain; `POST /slow {id, factor, durationMs}` slows
 * one down; `POST /stop {id}` closes one with all its connections.
 */
import type { ListedInstance } from '@arbutustray/core'
import type { RouteTable } from '../http-server.js'
import type { UpstreamStandin } from './start-upstream.js'
import type { UpstreamSpec } from './upstream-options.js'
import { createServer } from 'node:http'
import { handleRoute, close, listen, readJson, sendJson } from '../http-server.js'
import { startUpstream } from './start-upstream.js'

/** Running upstream stand-ins and their control port. */
export interface UpstreamHost {
  readonly controlUrl: string
  readonly upstreams: ReadonlyMap<string, UpstreamStandin>
  readonly listed: () => readonly ListedInstance[]
  readonly close: () => Promise<void>
}

/** Starts all upstreams and the control port. */
export async function startUpstreamHost (specs: readonly UpstreamSpec[], controlPort = 0): Promise<UpstreamHost> {
  const started = await Promise.all(specs.map(startUpstream))
  const upstreams = new Map(started.map(upstream => [upstream.options.id, upstream]))

  const findUpstream = (id: string): UpstreamStandin => {
    const upstream = upstreams.get(id)
    if (upstream === undefined) throw new Error(`unknown upstream ${id}`)
    return upstream
  }

  const listed = (): readonly ListedInstance[] => started.map(({ options, address }) => ({
    id: options.id, role: 'upstream', service: options.service, zone: options.zone, address, state: 'live'
  }))

  const routes: RouteTable = {
    'GET /upstreams': listed,
    'GET /runs': () => started.flatMap(upstream => upstream.runs()),
    'POST /drain': async request => {
      const { id, refuseAfterMs } = await readJson(request)
      findUpstream(id).drain(refuseAfterMs)
    },
    'POST /slow': async request => {
      const { id, factor, durationMs } = await readJson(request)
      findUpstream(id).slowDown(factor, durationMs)
    },
    'POST /stop': async request => await findUpstream((await readJson(request)).id).close()
  }

  const server = createServer((request, response) => {
    handleRoute(routes, request, response)
      .then(wasHandled => { if (!wasHandled) sendJson(response, 404, { error: 'not-found' }) })
      .catch(() => response.destroy())
  })
  const address = await listen(server, controlPort)
  return {
    controlUrl: `http://${address}`,
    upstreams,
    listed,
    close: async () => {
      await Promise.all([close(server), ...started.map(async upstream => await upstream.close())])
    }
  }
}
