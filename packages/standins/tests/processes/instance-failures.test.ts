import type { Sample } from '../../src/demo/caller.js'
import type { Fleet } from './fleet.js'
import { once } from 'node:events'
import { Readable } from 'node:stream'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { expect, it } from 'vitest'
import { waitUntil } from '../../src/demo/operator.js'
import { findBreaches } from '../../src/demo/verify.js'
import { check, purchase, startFleet } from './fleet.js'

const [A, B, C] = ['entry-zagreb-1a', 'entry-zagreb-1b', 'entry-split-1a']
/** An instance is taken out of look-ups after 3 s without a heartbeat; the limit adds one heartbeat period of 1 s. */
const SILENCE_LIMIT_MS = 4_000

/** Sends checks and purchases to one instance. Those that are lost are sent again to another instance, with the same key. */
async function sendMixed (fleet: Fleet, id: string, other: string, keyHome: string, durationMs: number): Promise<readonly Sample[]> {
  const count = durationMs / 25
  const keys = await fleet.fetchKeys(keyHome, count)
  const samples: Sample[] = []
  await Promise.all(keys.map(async (key, index) => {
    await sleep(25 * index)
    const name = `${id}/${keyHome}/${index}`
    const spec = index % 2 === 0 ? purchase(name, key, { serviceMs: 60 }) : check(name, { serviceMs: 60 })
    const sample = await fleet.send(id, spec)
    samples.push(sample)
    if (sample.end === 'lost') samples.push(await fleet.send(other, spec))
  }))
  return samples
}

it('ends an instance by SIGKILL, guarding against second runs, against `not-run` for requests that ran, and against look-ups that return the ended instance', async () => {
  const fleet = await startFleet({ zones: { 'zagreb-1': 2, 'split-1': 1 } })
  const load = [[A, B, A], [A, B, B], [B, C, B], [C, B, A]].map(async ([id, other, home]) => await sendMixed(fleet, id!, other!, home!, 6_000))
  await sleep(1_500)
  fleet.child(A).process.kill('SIGKILL')
  await waitUntil('look-ups no longer return the killed instance', SILENCE_LIMIT_MS, async () =>
    (await Promise.all([B, C].map(fleet.lookup))).every(ids => ids.length > 0 && !ids.includes(A)))
  const samples = (await Promise.all(load)).flat()
  expect(findBreaches(samples, await fleet.runs())).toEqual([])
  const checks = samples.filter(({ spec }) => spec.kind === 'check')
  const served = new Set(checks.filter(({ end }) => end === 'whole').map(({ spec }) => spec.path))
  expect(checks.filter(({ end }) => end === 'lost').length).toBeGreaterThan(0)
  expect(checks.filter(({ spec }) => !served.has(spec.path)).map(({ detail }) => detail)).toEqual([])
  const [key] = await fleet.fetchKeys(B, 1)
  expect((await fleet.send(B, purchase('after', key!))).end).toBe('whole')
})

it('pauses an instance for longer than 3 s, guarding against expired requests that run when it resumes, and against second runs at another instance', async () => {
  const fleet = await startFleet({ zones: { 'zagreb-1': 2 }, slots: 2 })
  const keys = await fleet.fetchKeys(A, 6)
  const specs = keys.map((key, index) => purchase(`${index}`, key, { serviceMs: 500, timeoutMs: 3_000 }))
  const first = specs.map(async spec => await fleet.send(A, spec))
  await sleep(250)
  const process = fleet.child(A).process
  const before = await fleet.runs()
  expect(before.length).toBeGreaterThan(0)
  expect(before.length).toBeLessThan(specs.length)
  process.kill('SIGSTOP')
  const retries = specs.map(async spec => await fleet.send(B, { ...spec, timeoutMs: 1_000 }))
  await sleep(4_000)
  const resumedAt = Date.now()
  process.kill('SIGCONT')
  const samples = await Promise.all([...first, ...retries])
  const again = await Promise.all(specs.map(async spec => await fleet.send(B, spec)))
  const runs = await fleet.runs()
  expect(runs.filter(run => run.started >= resumedAt).map(run => run.path)).toEqual([])
  expect(findBreaches([...samples, ...again], runs)).toEqual([])
  await waitUntil('look-ups return the resumed instance again', SILENCE_LIMIT_MS, async () => (await fleet.lookup(B)).includes(A))
  const [key] = await fleet.fetchKeys(A, 1)
  expect((await fleet.send(B, purchase('after', key!))).end).toBe('whole')
})

it('finishes a slow upload during a planned stop, guarding against a stop that cuts requests off at the end of the grace period', async () => {
  const fleet = await startFleet({ zones: { 'zagreb-1': 1 } })
  const part = 'x'.repeat(10_000)
  const parts = 26
  const slow = async function * () {
    for (let sent = 0; sent < parts; sent += 1) {
      yield part
      await sleep(500)
    }
  }
  const upload = request(`http://${fleet.instance(A).caller}/v1/services/ledger/slow`, {
    method: 'PUT', body: Readable.from(slow()), headers: { 'content-length': `${parts * part.length}` }
  })
  await sleep(1_000)
  const exit = once(fleet.child(A).process, 'exit')
  fleet.child(A).process.kill('SIGTERM')
  const response = await upload
  expect([response.statusCode, await response.body.json()]).toMatchObject([200, { bytes: parts * part.length }])
  expect(await exit).toEqual([0, null])
})
