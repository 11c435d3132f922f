/**
 * One of two machines is partitioned from the store, silently. Meanwhile a backend leaves as planned. Counted are the requests
 * that the other machine, which reaches the store all the while, sends to it later than `drain_s` after the acknowledgement.
 */
import { join } from 'node:path'
import { newId, send } from '../standins-2/client.js'
import { BOUNDS } from '../standins-2/platform.js'
import { configuration, route, Scene, sleep } from '../standins-2/scene.js'

const REQUESTS_PER_SECOND = 80
const WORK_MS = 400
const CUT_MS = 5_500
/** From the begin of the cut until the backend reports that it leaves. */
const BEFORE_DRAIN_MS = 200
/** From that report until the backend exits: `drain_s` and a little longer. */
const EXIT_MS = 3_500

await new Scene(join(import.meta.dirname, 'record.txt')).run(async scene => {
  const { record } = scene
  await scene.startStore()
  scene.store.put('config', 'main', configuration(3, [
    route('report-lookup', 'idempotent', 'ledger'),
    route('claim-filing', 'non_idempotent', 'ledger', { timeout_s: 4 })
  ], [{ name: 'ledger' }]))
  for (const number of [1, 2, 3, 4]) await scene.startBackend({ id: `i-ledger-${number}`, service: 'ledger', zone: 'orkhon-a', slots: 18, workMs: WORK_MS })
  await scene.startMachines(['orkhon-a', 'orkhon-b'], { hasStoreLinks: true })
  const [backend] = scene.backends
  const machineOf = new Map()
  const outcomes = []
  let number = 0
  const timer = setInterval(() => {
    number += 1
    const id = newId()
    const machine = scene.machines[Math.floor(number / 2) % scene.machines.length]
    const isClaim = number % 2 === 0
    machineOf.set(id, machine)
    send(record, {
      id, address: machine.address('front'), method: isClaim ? 'POST' : 'GET', path: isClaim ? '/claim-filing/7' : '/report-lookup/7', body: isClaim ? 'claim' : undefined, deadlineMs: 4_000, headers: { 'arbutustray-affinity-key': String(number % 61) }
    }).then(outcome => outcomes.push({ ...outcome, isClaim })).catch(() => {})
  }, 1_000 / REQUESTS_PER_SECOND)
  await sleep(5_000)
  // The machine that calls the store is cut off from it.
  const before = scene.machines.map(({ options }) => options.storeLink.forwarded)
  await sleep(3_000)
  const calls = scene.machines.map(({ options }, index) => options.storeLink.forwarded - before[index])
  const cut = scene.machines[calls.indexOf(Math.max(...calls))]
  const other = scene.machines.find(machine => machine !== cut)
  record('bytes-to-the-store', Object.fromEntries(scene.machines.map(({ options }, index) => [options.name, calls[index]])))
  if (scene.hasTrouble) {
    cut.options.storeLink.cut()
    record('cut-begins', { machine: cut.options.name })
    setTimeout(() => {
      cut.options.storeLink.heal()
      record('cut-ends', { machine: cut.options.name })
    }, CUT_MS)
  }
  await sleep(BEFORE_DRAIN_MS)
  const drainedAt = scene.now()
  backend.drain(EXIT_MS)
  await sleep(CUT_MS + 500)
  clearInterval(timer)
  await sleep(4_500)

  const boundMs = BOUNDS.drain_s * 1_000
  const late = scene.timesOf('arrived', ({ backend: name, id }) => name === backend.id && machineOf.get(id) === other).filter(({ at }) => at > drainedAt + boundMs)
  const answered = new Set(scene.idsOf('answers'))
  const lateIds = new Set(late.map(({ id }) => id))
  const lost = outcomes.filter(({ id, status, isClaim }) => isClaim && status !== 200 && lateIds.has(id) && !answered.has(id))
  return {
    isBroken: late.length > 0,
    summary: [
      `${scene.hasTrouble ? `${cut.options.name} is cut off from the store for ${CUT_MS} ms` : 'no machine is cut off'}; ${other.options.name} is not`,
      `requests that ${other.options.name} sent to the leaving backend and that reached it later than ${boundMs} ms after the acknowledgement: ${late.length}, the last of them after ${late.length === 0 ? '-' : Math.round(late.at(-1).at - drainedAt)} ms`,
      `claims among them that it was running when it exited: ${lost.length} (${[...new Set(lost.map(({ status, error }) => status ?? error))].join(', ')})`,
      `${outcomes.length} requests, ${outcomes.filter(({ status }) => status === 200).length} served`
    ]
  }
})
