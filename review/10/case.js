/**
 * A backend crashes and starts again under its identifier, cold, and registers at once. Counted are the requests that the cold
 * backend gets in one second.
 */
import { join } from 'node:path'
import { newId, send } from '../standins-2/client.js'
import { BOUNDS } from '../standins-2/platform.js'
import { configuration, route, Scene, sleep } from '../standins-2/scene.js'

const COLD_MS = 3_000
const COLD_PER_SECOND = 10
const REQUESTS_PER_SECOND = 240
const WORK_MS = 100
/** From the crash until the backend runs again. */
const DOWN_MS = 1_500
/** Most requests in one second, summed over all machines. */
const BOUND = COLD_PER_SECOND * BOUNDS.cold_overshoot + BOUNDS.cold_slack

await new Scene(join(import.meta.dirname, 'record.txt')).run(async scene => {
  const { record } = scene
  await scene.startStore()
  scene.store.put('config', 'main', configuration(3, [
    route('report-lookup', 'idempotent', 'ledger'),
    route('claim-filing', 'non_idempotent', 'ledger', { timeout_s: 4 })
  ], [{ name: 'ledger', cold_start_s: COLD_MS / 1_000, cold_per_s: COLD_PER_SECOND }]))
  for (const number of [1, 2, 3, 4]) await scene.startBackend({ id: `i-ledger-${number}`, service: 'ledger', zone: 'orkhon-a', workMs: WORK_MS })
  await scene.startMachines(['orkhon-a', 'orkhon-b'])
  const [backend] = scene.backends
  const sentAt = new Map()
  const outcomes = []
  let number = 0
  const timer = setInterval(() => {
    number += 1
    const id = newId()
    const machine = scene.machines[Math.floor(number / 2) % scene.machines.length]
    const isClaim = number % 2 === 0
    sentAt.set(id, scene.now())
    send(record, {
      id, address: machine.address('front'), method: isClaim ? 'POST' : 'GET', path: isClaim ? '/claim-filing/7' : '/report-lookup/7', body: isClaim ? 'claim' : undefined, deadlineMs: 4_000, headers: { 'arbutustray-affinity-key': String(number % 61) }
    }).then(outcome => outcomes.push({ ...outcome, isClaim })).catch(() => {})
  }, 1_000 / REQUESTS_PER_SECOND)
  await sleep(5_000)
  if (scene.hasTrouble) backend.crash('planned by the case')
  await sleep(DOWN_MS)
  if (scene.hasTrouble) await backend.restart(COLD_MS)
  record('restarted', { backend: backend.id })
  const restartedAt = scene.now()
  await sleep(COLD_MS + 1_000)
  clearInterval(timer)
  await sleep(4_500)

  const arrivals = scene.timesOf('arrived', ({ backend: name, cold, at }) => name === backend.id && cold && at >= restartedAt)
  let most = { count: 0, at: restartedAt }
  for (const { at } of arrivals) {
    const count = arrivals.filter(other => other.at > at - 1_000 && other.at <= at && sentAt.get(other.id) > at - 1_000).length
    if (count > most.count) most = { count, at }
  }
  return {
    isBroken: most.count > BOUND,
    summary: [
      `bound: ${BOUND} requests in one second; most at the cold backend: ${most.count}, in the second that ended ${Math.round(most.at - restartedAt)} ms after its start`,
      `${outcomes.length} requests, ${outcomes.filter(({ status }) => status === 200).length} served`
    ]
  }
})
