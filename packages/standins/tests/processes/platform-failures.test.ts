import type { Operation, Plan } from '@arbutustray/core'
import type { Fleet } from './fleet.js'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { expect, it } from 'vitest'
import { planAndConfirm, waitUntil } from '../../src/demo/operator.js'
import { OPERATOR_TOKEN } from '../../src/demo/processes.js'
import { findBreaches } from '../../src/demo/verify.js'
import { check, purchase, startFleet } from './fleet.js'

const [A, B, C] = ['entry-zagreb-1a', 'entry-zagreb-1b', 'entry-split-1a']
/** Guarantee 8: time in which a configuration reaches all entry instances at the design size. */
const PROPAGATION_LIMIT_MS = 9_000

const drainUpstream = (target: string): Operation => ({ table: 'drains', put: { kind: 'upstream', target } })

/** Confirms a plan and returns the status and the body of the response. */
async function confirm (fleet: Fleet, id: string, { planId, baseVersion, operations }: Plan, changeId: string): Promise<{ readonly status: number, readonly body: any }> {
  const response = await request(`http://${fleet.instance(id).operator}/v1/confirmations`, {
    method: 'POST',
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json' },
    body: JSON.stringify({ planId, baseVersion, operations, changeId, actor: id, reason: 'test' })
  })
  return { status: response.statusCode, body: await response.body.json() }
}

const makePlan = async (fleet: Fleet, id: string, operation: Operation): Promise<Plan> =>
  await fleet.call(fleet.instance(id), '/v1/plans', { operations: [operation] })

it('serves during an outage of the platform, guarding against keys and restarts that need the platform and against confirmations that do not recover', async () => {
  const fleet = await startFleet({ zones: { 'zagreb-1': 2, 'split-1': 1 }, startedByTest: [B] })
  const drain = await makePlan(fleet, A, drainUpstream('none'))
  await fleet.setPlatformSwitches({ down: true })
  const refused = await confirm(fleet, A, drain, 'change-1')
  expect(refused).toMatchObject({ status: 503, body: { reason: expect.stringMatching(/./) } })
  fleet.start(B)
  await waitUntil('the new instance responds', 20_000, async () => await fleet.version(B) >= 0)
  await waitUntil('the new instance has the configuration', PROPAGATION_LIMIT_MS, async () => await fleet.version(B) === 1)
  await waitUntil('the new instance has upstreams', PROPAGATION_LIMIT_MS, async () =>
    (await fleet.call(fleet.instance(B), '/v1/status')).upstreams.length > 0)
  expect((await fleet.send(B, check('new'))).end).toBe('whole')
  const keys = await fleet.fetchKeys(A, 20)
  const samples = (await Promise.all(keys.map(async (key, index) =>
    [await fleet.send(index % 2 === 0 ? A : C, purchase(`${index}`, key)), await fleet.send(C, check(`${index}`))]))).flat()
  expect(samples.map(({ end, detail }) => `${end} ${detail}`).filter(text => !text.startsWith('whole'))).toEqual([])
  expect(findBreaches(samples, await fleet.runs())).toEqual([])
  expect((await confirm(fleet, C, drain, 'change-1')).status).toBe(503)
  await fleet.setPlatformSwitches({ down: false })
  await waitUntil('a confirmation succeeds', PROPAGATION_LIMIT_MS, async () => {
    const answer = await confirm(fleet, A, drain, 'change-1')
    if (answer.status !== 200) throw new Error(JSON.stringify(answer))
    return true
  })
  await waitUntil('the change is in force everywhere', PROPAGATION_LIMIT_MS, async () =>
    (await Promise.all([A, B, C].map(fleet.version))).every(version => version === 2))
})

it('confirms different changes concurrently while replies are lost, guarding against two commits on one base and against versions that decrease', async () => {
  const fleet = await startFleet({ zones: { 'zagreb-1': 1, 'split-1': 1, 'rijeka-1': 1 } })
  const ids = fleet.instances.map(({ id }) => id)
  const seenVersions = new Map(ids.map(id => [id, [0]]))
  const polling = { on: true }
  const polls = ids.map(async id => {
    while (polling.on) {
      seenVersions.get(id)?.push(await fleet.version(id))
      await sleep(20)
    }
  })
  for (let round = 0; round < 5; round += 1) {
    const version = 1 + round
    await waitUntil('all instances have the version', PROPAGATION_LIMIT_MS, async () =>
      (await Promise.all(ids.map(fleet.version))).every(found => found === version))
    const [first, second] = [ids[round % 3]!, ids[(round + 1) % 3]!]
    const plans = await Promise.all([makePlan(fleet, first, drainUpstream(`a${round}`)), makePlan(fleet, second, drainUpstream(`b${round}`))])
    await fleet.setPlatformSwitches({ loseReplies: round % 3 })
    const answers = await Promise.all([confirm(fleet, first, plans[0], `a${round}`), confirm(fleet, second, plans[1], `b${round}`)])
    expect(answers.map(({ status }) => status).sort()).toEqual([200, 409])
    const lost = answers[0].status === 409 ? 0 : 1
    expect(answers[1 - lost]!.body.version).toBe(version + 1)
    expect(answers[lost]!.body.plan).toMatchObject({ baseVersion: version + 1, operations: plans[lost]!.operations })
  }
  await planAndConfirm(fleet.call, fleet.instances[0]!, [drainUpstream('last')], 'test')
  await waitUntil('all instances have the last version', PROPAGATION_LIMIT_MS, async () =>
    (await Promise.all(ids.map(fleet.version))).every(found => found === 7))
  polling.on = false
  await Promise.all(polls)
  for (const versions of seenVersions.values()) expect(versions).toEqual([...versions].sort((a, b) => a - b))
  const { drains, recent } = await fleet.call(fleet.instances[2]!, '/v1/configuration')
  expect(drains).toHaveLength(6)
  expect(recent).toHaveLength(7)
})
