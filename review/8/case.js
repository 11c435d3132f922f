/**
 * A backend becomes cold again while it runs and says so in its entry in the store at once. Counted are the requests that it
 * gets in one second, from 2.5 s after the store has accepted the entry.
 */
import { join } from 'node:path'
import { newId, send } from '../standins-2/client.js'
import { BOUNDS } from '../standins-2/platform.js'
import { configuration, route, Scene, sleep } from '../standins-2/scene.js'

const COLD_MS = 8_000
const COLD_PER_SECOND = 10
const REQUESTS_PER_SECOND = 120
const WORK_MS = 200
/** Most requests in one second, summed over all machines. */
const BOUND = COLD_PER_SECOND * BOUNDS.cold_overshoot + BOUNDS.cold_slack
/** The rule has no such allowance; it is the longest time in which a change of the store has to take effect elsewhere. */
const ALLOWANCE_MS = BOUNDS.config_apply_s * 1_000

await new Scene(join(import.meta.dirname, 'record.txt')).run(async scene => {
  const { record } = scene
  await scene.startStore()
  scene.store.put('config', 'main', configuration(3, [
    route('report-lookup', 'idempotent', 'ledger'),
    route('claim-filing', 'non_idempotent', 'ledger', { timeout_s: 4 })
  ], [{ name: 'ledger', cold_start_s: COLD_MS / 1_000, cold_per_s: COLD_PER_SECOND }]))
  for (const number of [1, 2, 3, 4]) await scene.startBackend({ id: `i-ledger-${number}`, service: 'ledger', zone: 'orkhon-a', workMs: WORK_MS, coldPerSecond: COLD_PER_SECOND })
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
  await sleep(4_000)
  if (scene.hasTrouble) backend.becomeCold(COLD_MS)
  const coldAt = scene.now()
  await sleep(COLD_MS)
  clearInterval(timer)
  await sleep(4_500)

  const arrivals = scene.timesOf('arrived', ({ backend: name, cold }) => name === backend.id && cold)
  /** Most requests that were sent and arrived inside one second which begins at `from` or later. */
  const most = from => {
    let highest = 0
    for (const { at } of arrivals) {
      if (at - 1_000 < from) continue
      highest = Math.max(highest, arrivals.filter(other => other.at > at - 1_000 && other.at <= at && sentAt.get(other.id) > at - 1_000).length)
    }
    return highest
  }
  const judged = most(coldAt + ALLOWANCE_MS)
  const crashed = scene.timesOf('backend-crashed', () => true)
  const running = new Set(scene.idsOf('runs'))
  for (const id of scene.idsOf('answers')) running.delete(id)
  const lost = outcomes.filter(({ id, status, isClaim }) => isClaim && status !== 200 && running.has(id))
  return {
    isBroken: judged > BOUND,
    summary: [
      `bound: ${BOUND} requests in one second; most, from ${ALLOWANCE_MS} ms after the store's acknowledgement: ${judged}; most from the acknowledgement on: ${most(coldAt)}`,
      `the cold backend ${crashed.length === 0 ? 'did not crash' : `crashed ${((crashed[0].at - coldAt) / 1_000).toFixed(1)} s after it had become cold: ${crashed[0].reason}`}`,
      `${outcomes.length} requests, ${outcomes.filter(({ status }) => status === 200).length} served; claims that were running at the backend and got no answer of it: ${lost.length} (${[...new Set(lost.map(({ status, error }) => status ?? error))].join(', ')})`
    ]
  }
})
