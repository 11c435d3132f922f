/**
 * `npm run demo`: runs the association's deployment on this machine. A platform stand-in, two processes with 47
 * upstream stand-ins, and seven entry instances serve callers in all six zones while an upstream is drained. Then all
 * processes stop gracefully, and the upstreams' run logs are compared with the responses that callers got. Exits with 0
 * if no request was lost and no guarantee was broken.
 */
import type { ListedInstance } from '@arbutustray/core'
import type { Run } from '../upstream/run-log.js'
import type { Caller, Sample } from './caller.js'
import type { Child } from './children.js'
import type { EntryInstance } from './topology.js'
import type { ConfirmedDrain } from './verify.js'
import { setTimeout as sleep } from 'node:timers/promises'
import { closeCallers, createCaller } from './caller.js'
import { planAndConfirm, createOperatorCall, waitUntil } from './operator.js'
import { OPERATOR_TOKEN, createProcesses, send } from './processes.js'
import { formatFailures, formatReport, formatSummary } from './report.js'
import { buildCreateOperations, createEntryInstances, toListedInstance, readConfiguration, createUpstreamSpecs } from './topology.js'
import { createLongUpload, sendTraffic } from './traffic.js'
import { findBreaches } from './verify.js'

const TRAFFIC_MS = 7_000
const DRAIN_DELAY_MS = 2_000
/** Guarantee 6: time after its confirmation from which a drained upstream receives no new requests. */
const DRAIN_LIMIT_MS = 3_000
const LONG_UPLOAD_SERVICE_MS = 3_000
/** Twelve processes start at once, which took 6 s on an overloaded machine. */
const START_LIMIT_MS = 20_000
/** Guarantee 8: time in which a configuration reaches all entry instances at the design size. */
const PROPAGATION_LIMIT_MS = 9_000
/** A planned stop of an entry instance takes 10 s. */
const STOP_LIMIT_MS = 20_000

const startedAt = performance.now()
const processes = createProcesses()
const { children, startStandin, startEntry } = processes

function logProgress (text: string): void {
  console.log(`${((performance.now() - startedAt) / 1_000).toFixed(1).padStart(5)} s  ${text}`)
}

const callOperator = createOperatorCall(OPERATOR_TOKEN)

async function waitForVersion (instances: readonly EntryInstance[], version: number): Promise<number> {
  return await waitUntil(`version ${version} everywhere`, PROPAGATION_LIMIT_MS, async () => {
    const versions = await Promise.all(instances.map(async instance => (await callOperator(instance, '/v1/status')).version))
    return versions.every(found => found >= version)
  })
}

/** Drains an upstream while requests are in flight, and stops it once it must have no requests left. */
async function drainUpstream (instances: readonly EntryInstance[], upstream: string, controlUrl: string): Promise<ConfirmedDrain> {
  await sleep(DRAIN_DELAY_MS)
  const operator = instances.at(-1) as EntryInstance
  const { plan, version } = await planAndConfirm(callOperator, operator, [{ table: 'drains', put: { kind: 'upstream', target: upstream } }], 'maintenance')
  const confirmedAt = Date.now()
  const ms = await waitForVersion(instances, version)
  logProgress(`drain of ${upstream} confirmed as version ${version} with ${plan.moves.length} moves, in force after ${ms.toFixed(0)} ms`)
  await sleep(DRAIN_LIMIT_MS)
  await send(`${controlUrl}/stop`, 'POST', { id: upstream })
  logProgress(`${upstream} stopped`)
  return { upstream, confirmedAt, boundMs: DRAIN_LIMIT_MS }
}

/** Stops the entry instances while each zone has a long upload in flight. */
async function stopEntryInstances (entries: readonly Child[], callers: readonly Caller[]): Promise<{ readonly samples: readonly Sample[], readonly breaches: readonly string[] }> {
  const uploads = callers.map(async (caller, index) => await caller.send(createLongUpload(caller.zone, index, LONG_UPLOAD_SERVICE_MS)))
  await sleep(LONG_UPLOAD_SERVICE_MS / 2)
  const ends = await children.stop(entries, STOP_LIMIT_MS)
  logProgress(`entry instances stopped after ${(Math.max(...ends.map(({ ms }) => ms)) / 1_000).toFixed(1)} s`)
  const failed = ends.filter(({ code }) => code !== 0)
  return { samples: await Promise.all(uploads), breaches: failed.map(({ name, code }) => `${name} ended with ${code}`) }
}

async function run (): Promise<boolean> {
  const file = readConfiguration()
  const zones = (file.zones ?? []).map(zone => zone.id)
  const services = (file.services ?? []).map(service => service.id)
  const [platform, ...hosts] = await Promise.all([
    startStandin('platform', 'platform/main.js'),
    ...services.map(async service =>
      await startStandin(`${service} upstreams`, 'upstream/main.js', [JSON.stringify(createUpstreamSpecs(service, zones))]))
  ])
  const upstreams: readonly ListedInstance[] = hosts.flatMap(({ ready }) => ready.upstreams)
  const instances = await createEntryInstances(file)
  await send(`${platform.ready.url}/control/instances`, 'PUT', [...upstreams, ...instances.map(toListedInstance)])
  const entries = instances.map(instance => startEntry(instance, platform.ready.url))
  await waitUntil('entry instances ready', START_LIMIT_MS, async () =>
    (await Promise.all(instances.map(async instance => await callOperator(instance, '/health')))).length === instances.length)
  logProgress(`${instances.length} entry instances ready, ${upstreams.length} upstreams listed`)

  const [first] = instances
  if (first === undefined) throw new Error('no entry instances')
  const { version } = await planAndConfirm(callOperator, first, buildCreateOperations(file), 'first configuration')
  logProgress(`configuration confirmed as version ${version}, in force after ${(await waitForVersion(instances, version)).toFixed(0)} ms`)
  // Look-ups may return an instance only after its peers have received a heartbeat from it.
  await waitUntil('all upstreams and peers known', START_LIMIT_MS, async () => {
    const states = await Promise.all(instances.map(async instance => await callOperator(instance, '/v1/status')))
    return states.every(state => state.upstreams.length === upstreams.length && state.instances.length >= instances.length - 1)
  })

  const callers = zones.map(zone => createCaller(instances.find(instance => instance.zone === zone) ?? first))
  const drained = upstreams.find(upstream => upstream.service === services[0])
  const [traffic, drain] = await Promise.all([
    sendTraffic(callers, TRAFFIC_MS),
    drainUpstream(instances, drained?.id ?? '', hosts[0]?.ready.controlUrl)
  ])
  logProgress(`${traffic.length} requests answered`)
  const stopped = await stopEntryInstances(entries, callers)
  const samples = [...traffic, ...stopped.samples]
  const runs: readonly Run[] = (await Promise.all(hosts.map(async ({ ready }) => await send(`${ready.controlUrl}/runs`, 'GET')))).flat()
  const ends = await children.stop([platform.child, ...hosts.map(({ child }) => child)], STOP_LIMIT_MS)
  await closeCallers()

  const breaches = [
    ...stopped.breaches,
    ...ends.filter(({ code }) => code !== 0).map(({ name, code }) => `${name} ended with ${code}`),
    ...findBreaches(samples, runs, drain)
  ]
  console.log(`\n${formatReport(samples)}\n`)
  for (const line of formatFailures(samples)) console.log(line)
  for (const breach of breaches) console.log(`broken: ${breach}`)
  console.log(`${runs.length} runs at the upstreams, ${breaches.length} broken guarantees`)
  console.log(formatSummary(samples))
  return breaches.length === 0 && samples.every(({ end }) => end !== 'lost')
}

try {
  process.exitCode = await run() ? 0 : 1
} catch (error) {
  console.error(error)
  for (const child of children.all()) for (const line of child.lines.slice(-5)) console.error(`${child.name}: ${line.slice(0, 300)}`)
  process.exitCode = 1
}
processes.close()
