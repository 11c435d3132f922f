/**
 * A backend leaves as planned. The store executes one of its earlier heartbeats late, after the report that it is draining.
 * Counted are the requests that reach it later than `drain_s` after the store's acknowledgement of that report.
 */
import { join } from 'node:path'
import { newId, send } from '../standins-2/client.js'
import { BOUNDS } from '../standins-2/platform.js'
import { configuration, route, Scene, sleep } from '../standins-2/scene.js'

const REQUESTS_PER_SECOND = 80
const WORK_MS = 400
/** From the write whose answer is lost until the store executes it. */
const LATE_MS = 5_950
/** From that write until the backend reports that it leaves: more than `touch_s`, so that the store is stable then. */
const BEFORE_DRAIN_MS = 4_050
/** From that report until the backend exits: `drain_s` and a little longer. */
const EXIT_MS = 3_300

await new Scene(join(import.meta.dirname, 'record.txt')).run(async scene => {
  const { record } = scene
  await scene.startStore()
  scene.store.put('config', 'main', configuration(3, [
    route('report-lookup', 'idempotent', 'ledger'),
    route('claim-filing', 'non_idempotent', 'ledger', { timeout_s: 4 })
  ], [{ name: 'ledger' }]))
  for (const number of [1, 2, 3, 4]) await scene.startBackend({ id: `i-ledger-${number}`, service: 'ledger', zone: 'orkhon-a', slots: 18, workMs: WORK_MS })
  await scene.startMachines(['orkhon-a', 'orkhon-b'])
  const [backend] = scene.backends
  const outcomes = []
  let number = 0
  const timer = setInterval(() => {
    number += 1
    const id = newId()
    const machine = scene.machines[Math.floor(number / 2) % scene.machines.length]
    const isClaim = number % 2 === 0
    send(record, {
      id, address: machine.address('front'), method: isClaim ? 'POST' : 'GET', path: isClaim ? '/claim-filing/7' : '/report-lookup/7', body: isClaim ? 'claim' : undefined, deadlineMs: 4_000, headers: { 'arbutustray-affinity-key': String(number % 61) }
    }).then(outcome => outcomes.push({ ...outcome, isClaim })).catch(() => {})
  }, 1_000 / REQUESTS_PER_SECOND)
  await sleep(5_000)
  if (scene.hasTrouble) backend.register(LATE_MS)
  await sleep(BEFORE_DRAIN_MS)
  const drainedAt = scene.now()
  backend.drain(EXIT_MS)
  await sleep(EXIT_MS + 2_000)
  clearInterval(timer)
  await sleep(4_500)

  const boundMs = BOUNDS.drain_s * 1_000
  const late = scene.timesOf('arrived', ({ backend: name }) => name === backend.id).filter(({ at }) => at > drainedAt + boundMs)
  const answered = new Set(scene.idsOf('answers'))
  const lateIds = new Set(late.map(({ id }) => id))
  const lost = outcomes.filter(({ id, status, isClaim }) => isClaim && status !== 200 && lateIds.has(id) && !answered.has(id))
  return {
    isBroken: late.length > 0,
    summary: [
      `requests that reached the leaving backend later than ${boundMs} ms after the acknowledgement: ${late.length}, the last of them after ${late.length === 0 ? '-' : Math.round(late.at(-1).at - drainedAt)} ms`,
      `claims among them that it was running when it exited: ${lost.length} (${[...new Set(lost.map(({ status, error }) => status ?? error))].join(', ')})`,
      `${outcomes.length} requests, ${outcomes.filter(({ status }) => status === 200).length} served`
    ]
  }
})
