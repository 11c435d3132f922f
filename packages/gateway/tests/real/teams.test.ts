/**
 * Guards against an API key that leaves the instance and against a team that the caller states itself.
 */
import type { Deployment, SteeringEvent, Team } from '@arbutustray/steering'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { HttpExchange } from '../../src/http-exchange.js'
import type { TestGateway } from '../support.js'
import { once } from 'node:events'
import { connect } from 'node:net'
import { createMetrics } from '@arbutustray/telemetry'
import { request } from 'undici'
import { afterEach, expect, it } from 'vitest'
import { createAnswerMemory } from '../../src/answer-memory.js'
import { createCallerServer } from '../../src/caller-server.js'
import { DEPLOYMENT, DIALECT, listen, startTestGateway, upstreamEntry } from '../support.js'

const closing: Array<() => Promise<unknown>> = []

afterEach(async () => {
  await Promise.all(closing.splice(0).map(async close => await close()))
})

const KEY = 'secret-key-1'
const TEAM: Team = { name: 'team one', apiKeys: [KEY], priority: 0, quota: undefined, homeRegions: [] }
const [READ] = DEPLOYMENT.routes

function withTeams (version: number, teams: readonly Team[] | undefined): Deployment {
  return { ...DEPLOYMENT, version, routes: [...DEPLOYMENT.routes, { ...READ, name: 'open', prefix: '/open/', allowsAnonymous: true }], teams }
}

interface Started extends TestGateway {
  /** Headers of the requests that reached an upstream: alternating names, in lower case, and values. */
  readonly received: string[][]
  readonly deploy: (version: number, teams: readonly Team[] | undefined) => void
}

const serve = (request: IncomingMessage, response: ServerResponse): void => {
  response.writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-signature': 's' }).end('ok')
}

async function start (teams: readonly Team[] | undefined, handle = serve): Promise<Started> {
  const received: string[][] = []
  const entries = []
  for (const id of ['upstream-0', 'upstream-1']) {
    const { server, address } = await listen((incoming, response) => {
      received.push(incoming.rawHeaders.map((text, index) => index % 2 === 0 ? text.toLowerCase() : text))
      handle(incoming, response)
    })
    entries.push(upstreamEntry(id, address))
    closing.push(async () => {
      server.closeAllConnections()
      server.close()
    })
  }
  const gateway = await startTestGateway(entries)
  closing.push(gateway.stop)
  const deploy: Started['deploy'] = (version, changed) => { gateway.gateway.replica.replace('deployment', version, [['main', withTeams(version, changed)]], 0) }
  deploy(2, teams)
  return { ...gateway, received, deploy }
}

/** Sends one request over a raw socket, which also allows repeated and oddly spelled headers, and returns the response. */
async function send ({ addresses }: TestGateway, path: string, lines: readonly string[]): Promise<string> {
  const [host, port] = addresses.caller.split(':')
  const socket = connect(Number(port), host)
  socket.write(`GET ${path} HTTP/1.1\r\nhost: shop.example\r\nx-id: r-1\r\nx-object: 1\r\nx-deadline: 1500\r\n${lines.map(line => `${line}\r\n`).join('')}\r\n`)
  const [chunk] = await once(socket, 'data') as [Buffer]
  socket.destroy()
  return chunk.toString('latin1')
}

function valuesOf (headers: readonly string[], name: string): readonly string[] {
  return headers.filter((_, index) => index % 2 === 1 && headers[index - 1] === name)
}

it.each([
  ['/read/1', [`authorization: Bearer ${KEY}`], ['team one']],
  ['/read/1', [`AUTHORIZATION:   bearer ${KEY}`, 'x-team: forged', 'X-Team: forged, too'], ['team one']],
  ['/read/1', ['connection: close, x-team, authorization', 'x-team: forged', `authorization: Bearer ${KEY}`], ['team one']],
  ['/open/1', [`Authorization: Bearer ${KEY}`, 'X-TEAM:'], ['team one']],
  ['/open/1', ['x-team: forged'], []],
  ['/open/1', [], []]
])('sends %s with %j to an upstream with the team %j and without the key', async (path, lines, expected) => {
  const started = await start([TEAM])
  expect(await send(started, path, lines)).toMatch(/^HTTP\/1\.1 200 /)
  expect(started.received).toHaveLength(1)
  expect(valuesOf(started.received[0], 'x-team')).toEqual(expected)
  expect(valuesOf(started.received[0], 'authorization')).toEqual([])
  expect(started.received.join('\n')).not.toContain(KEY)
  expect(started.received.join('\n')).not.toContain('forged')
})

it.each([
  ['/read/1', []],
  ['/read/1', ['x-team: team one']],
  ['/read/1', ['authorization: Bearer other']],
  ['/open/1', ['authorization: Bearer other']],
  ['/open/1', ['authorization: Basic c2VjcmV0']],
  ['/open/1', [`authorization: Bearer ${KEY}`, `authorization: Bearer ${KEY}`]]
])('refuses %s with %j with 401, without a retry time and without an upstream', async (path, lines) => {
  const started = await start([TEAM])
  const response = await send(started, path, lines)
  expect(response).toMatch(/^HTTP\/1\.1 401 /)
  expect(response).toMatch(/\r\nwww-authenticate: Bearer\r\n/i)
  expect(response).not.toMatch(/\r\nretry-after:/i)
  expect(started.received).toEqual([])
})

it('answers 404 without a route whatever the key', async () => {
  const started = await start([TEAM])
  expect(await send(started, '/nowhere/', ['authorization: Basic x'])).toMatch(/^HTTP\/1\.1 404 /)
})

it('forwards both headers in a deployment without teams, guarding against a change for deployments that do not identify requests', async () => {
  const started = await start(undefined)
  expect(await send(started, '/read/1', ['authorization: Bearer other', 'x-team: stated'])).toMatch(/^HTTP\/1\.1 200 /)
  expect([valuesOf(started.received[0], 'authorization'), valuesOf(started.received[0], 'x-team')]).toEqual([['Bearer other'], ['stated']])
})

it('applies added and removed keys to an open connection, guarding against keys that are read once per connection', async () => {
  const started = await start([TEAM])
  const [host, port] = started.addresses.caller.split(':')
  const socket = connect(Number(port), host)
  closing.push(async () => socket.destroy())
  const ask = async (apiKey: string): Promise<string> => {
    socket.write(`GET /read/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: r-1\r\nx-deadline: 1500\r\nauthorization: Bearer ${apiKey}\r\n\r\n`)
    const [chunk] = await once(socket, 'data') as [Buffer]
    return chunk.toString().slice(9, 12)
  }
  const first = [await ask(KEY), await ask('added')]
  started.deploy(3, [{ ...TEAM, apiKeys: ['added'] }])
  expect([...first, await ask(KEY), await ask('added')]).toEqual(['200', '401', '401', '200'])
})

it('sends no credentials on a retry after the first version with teams, guarding against a key that an earlier version let pass', async () => {
  let isFirst = true
  const started: Started = await start(undefined, (incoming, response) => {
    if (!isFirst) return serve(incoming, response)
    isFirst = false
    started.deploy(3, [TEAM])
    response.writeHead(503, { 'x-not-run': '1' }).end()
  })
  expect(await send(started, '/read/1', [`authorization: Bearer ${KEY}`, 'x-team: forged'])).toMatch(/^HTTP\/1\.1 200 /)
  expect(started.received.map(headers => [valuesOf(headers, 'authorization').length, valuesOf(headers, 'x-team').length])).toEqual([[1, 1], [0, 0]])
})

it('sends no credentials on a retry after the last version with teams, guarding against a key of a team that an upstream gets', async () => {
  let isFirst = true
  const started: Started = await start([TEAM], (incoming, response) => {
    if (!isFirst) return serve(incoming, response)
    isFirst = false
    started.deploy(3, undefined)
    response.writeHead(503, { 'x-not-run': '1' }).end()
  })
  expect(await send(started, '/read/1', [`authorization: Bearer ${KEY}`])).toMatch(/^HTTP\/1\.1 200 /)
  expect(started.received.map(headers => [valuesOf(headers, 'authorization'), valuesOf(headers, 'x-team')])).toEqual([[[], ['team one']], [[], ['team one']]])
})

it('counts the requests of a team without its key, guarding against keys in the metrics', async () => {
  const started = await start([TEAM])
  await send(started, '/read/1', [`authorization: Bearer ${KEY}`])
  await send(started, '/read/1', ['authorization: Bearer other-key'])
  await send(started, '/open/1', [])
  const reply = await request(`http://${started.addresses.metrics}/metrics`)
  const text = await reply.body.text()
  expect(text.split('\n').filter(line => line.startsWith('arbutustray_team_requests_total{'))).toEqual(['arbutustray_team_requests_total{team="team one",outcome="admitted"} 1'])
  expect(text).toContain('arbutustray_answers_total{route="read",status="401",source="unknown-key"} 1')
  expect(text).not.toContain('-key-1')
  expect(text).not.toContain('other-key')
})

it('names the team and not the key in the log, guarding against keys that whoever reads the log can use', async () => {
  const logged: unknown[] = []
  const exchanges = new Map<string, HttpExchange>()
  const events: SteeringEvent[] = []
  const { server: free, address } = await listen(() => {})
  free.close()
  await once(free, 'close')
  const server = createCallerServer({
    dialect: DIALECT,
    exchanges,
    emit: event => {
      events.push(event)
      if (event.type !== 'request-arrived') return
      server.respond({ type: 'respond', requestId: event.requestId, route: 'read', team: 'team one', status: 429, reason: 'over-quota', retryAfterMs: 700 })
    },
    telemetry: { log: (id, fields) => { logged.push({ id, ...fields }) }, metrics: createMetrics({ measureEventLoopDelay: false }) },
    cores: 1,
    memoryMb: undefined,
    answerMemory: createAnswerMemory(),
    limits: () => undefined,
    hasTeams: () => true,
    findRoute: () => undefined,
    version: () => 7,
    shouldCloseConnections: () => false,
    isClosing: () => false
  })
  await server.listener.listen(address)
  closing.push(async () => await server.listener.stopAccepting(100))
  const reply = await request(`http://${address}/read/1`, { headers: { 'x-id': 'r-1', authorization: `Bearer ${KEY}` } })
  await reply.body.dump()
  expect([reply.statusCode, reply.headers['retry-after']]).toEqual([429, '0.70'])
  expect(events[0]).toMatchObject({ type: 'request-arrived', apiKey: KEY })
  expect(logged).toMatchObject([{ id: 'request-refused', requestId: 'r-1', team: 'team one', reason: 'over-quota' }])
  expect(JSON.stringify(logged)).not.toContain(KEY)
})
