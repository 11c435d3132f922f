import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { expect, it } from 'vitest'
import { planAndConfirm, waitUntil } from '../../src/demo/operator.js'
import { findBreaches } from '../../src/demo/verify.js'
import { check, purchase, startFleet } from './fleet.js'

const [A, B, C] = ['entry-zagreb-1a', 'entry-split-1a', 'entry-rijeka-1a']
/** Guarantee 8: time in which a configuration reaches all entry instances at the design size. */
const PROPAGATION_LIMIT_MS = 9_000

it('kills upstreams in the middle of response bodies, guarding against truncated responses that look complete and against retries of requests that are not idempotent', async () => {
  const fleet = await startFleet({ zones: { 'zagreb-1': 1 }, hosts: 2 })
  const range = (count: number) => Array.from({ length: count }, (_, index) => index)
  // Fills the retry budget, which is a tenth of the requests in the window.
  for (const index of range(10)) await Promise.all(range(10).map(async row => await fleet.send(A, check(`before/${index}/${row}`))))
  const url = `http://${fleet.instance(A).caller}/v1/services/token`
  const stalled = await Promise.all(range(4).map(async index =>
    await request(`${url}/stalled/${index}`, { method: 'POST', headers: { 'x-fault': 'stall', 'x-service-ms': '1' } })))
  const bodies = stalled.map(async ({ statusCode, body }) => await body.text().then(text => `${statusCode} ${text}`, () => 'reset'))
  const keys = await fleet.fetchKeys(A, 4)
  const checks = range(6).map(async index => await fleet.send(A, check(`${index}`, { serviceMs: 800 })))
  const purchases = keys.map(async (key, index) => await fleet.send(A, purchase(`${index}`, key, { serviceMs: 800 })))
  await sleep(300)
  const running = (await fleet.runs()).filter(run => run.end === undefined)
  const [killedHost, remainingHost] = fleet.hosts
  const exits = once(killedHost!.child.process, 'exit')
  killedHost!.child.process.kill('SIGKILL')
  await exits
  const lost = running.filter(run => run.upstream.endsWith('-0'))
  expect(new Set(lost.map(run => run.path.split('/')[1]))).toEqual(new Set(['balances', 'purchases']))
  const samples = await Promise.all([...checks, ...purchases])
  expect(samples.filter(({ spec, end }) => spec.kind === 'check' && end !== 'whole').map(({ detail }) => detail)).toEqual([])
  const ended = samples.filter(({ spec }) => spec.kind === 'purchase')
  for (const { spec, end, detail } of ended) {
    if (lost.some(run => run.path === spec.path)) expect(detail).toMatch(/^502 unknown/)
    else expect(end).toBe('whole')
  }
  expect(ended.some(({ end }) => end === 'lost')).toBe(true)
  const again = await Promise.all(ended.map(async ({ spec }) => await fleet.send(A, spec)))
  expect(again.map(({ detail }) => detail.split(' ')[1])).toEqual(ended.map(({ end }) => end === 'lost' ? 'unknown' : 'served'))
  const runs = [...lost, ...await fleet.runs()]
  expect([...new Set(runs.filter(run => run.key !== undefined).map(run => run.key))]).toHaveLength(runs.filter(run => run.key !== undefined).length)
  remainingHost!.child.process.kill('SIGKILL')
  expect(await Promise.all(bodies)).toEqual(range(4).map(() => 'reset'))
})

it('partitions a zone and heals it, guarding against a zone that cannot serve on its own and against versions that stay behind', async () => {
  const fleet = await startFleet({ zones: { 'zagreb-1': 1, 'split-1': 1, 'rijeka-1': 1 }, relays: true })
  const relays = fleet.relays.get(A)!
  const peers = [...fleet.relays.values()].map(({ peer }) => peer)
  const remoteKeys = await fleet.fetchKeys(B, 5)
  // Each peer port has one relay for all its callers, so cutting the zone's calls to its peers cuts their calls as well.
  await Promise.all([...peers, relays.platform].map(async relay => await relay.cut()))
  await sleep(200)
  const { version } = await planAndConfirm(fleet.call, fleet.instance(B), [{ table: 'drains', put: { kind: 'upstream', target: 'none' } }], 'test')
  const keys = await fleet.fetchKeys(A, 20)
  const own = await Promise.all(keys.map(async (key, index) => await fleet.send(A, purchase(`own/${index}`, key))))
  const checks = await Promise.all(keys.map(async (_, index) => await fleet.send(A, check(`own/${index}`))))
  expect([...own, ...checks].filter(({ end }) => end !== 'whole').map(({ detail }) => detail)).toEqual([])
  const elsewhere = await Promise.all(remoteKeys.map(async (key, index) => await fleet.send(A, purchase(`foreign/${index}`, key))))
  expect(elsewhere.map(({ detail }) => detail.split(' ')[1])).toEqual(remoteKeys.map(() => 'unknown'))
  await waitUntil('look-ups return only the partitioned instance', 4_000, async () => (await fleet.lookup(A)).join() === A)
  expect(await fleet.version(A)).toBe(1)
  // The platform stays unreachable, so that the version must come from a peer.
  await Promise.all(peers.map(async relay => await relay.heal()))
  await waitUntil('the highest version is everywhere', PROPAGATION_LIMIT_MS, async () =>
    (await Promise.all([A, B, C].map(fleet.version))).every(found => found === version))
  await relays.platform.heal()
  const later = await Promise.all(remoteKeys.map(async (key, index) => await fleet.send(A, purchase(`foreign/${index}`, key))))
  expect(findBreaches([...own, ...checks, ...elsewhere, ...later], await fleet.runs())).toEqual([])
})
