/**
 * One of two entry instances gets SIGTERM while clients keep sending uploads to the addresses of their last look-up. Each
 * request that the instance has read and passed on must get a complete answer, with the excuses of the rule.
 */
import { fileURLToPath } from 'node:url'
import { BOUNDS, runCase, send, sleep, now } from '../standins/rig.mjs'

const INTERVAL_MS = 10
const SENDING_MS = { before: 1_000, after: 6_000 }
const DEADLINE_MS = 4_000
/** Work of an upload as in the sheet: 650 ms, and a few take several times as long. */
const USUAL_WORK_MS = 650
const LONG_WORK_MS = 2_600
const LONG_ONE_IN = 10
/** The rule excuses requests that were sent no later than this after the SIGTERM and run in the last sixth of the grace. */
const EXCUSED_MS = 3_000

async function lookUp (instance) {
  const reply = await fetch(`http://127.0.0.1:${instance.ports.directory}/api/resolve?name=review.example&region=orkhon&zone=orkhon-a`)
  return await reply.json()
}

await runCase({
  folder: fileURLToPath(new URL('.', import.meta.url)),
  instances: 2,
  routes: [{ name: 'photo-bundle', path_prefix: '/photo/', kind: 'upload', service: 'evidence', timeout_s: DEADLINE_MS / 1_000, target_latency_s: 0.6, attempts: 1 }],
  services: ['evidence'],
  upstreams: ['orkhon-a', 'orkhon-a', 'selenge-a', 'selenge-a'].map((zone, index) => ({
    id: `i-${index}`,
    service: 'evidence',
    zone,
    slots: 40,
    answer: async ({ id, request, succeed }) => {
      await sleep(request.url.includes('long') ? LONG_WORK_MS : USUAL_WORK_MS)
      succeed(`stored ${id}\n`)
    }
  })),
  play: async ({ journal, instances, upstreams, hasTrouble }) => {
    const [stopping] = instances
    const { addresses, ttl_s: ttl } = await lookUp(stopping)
    journal.note(`a client's look-up: ${addresses.length} addresses, ttl_s ${ttl}; it keeps them for three times as long`)
    const pending = []
    const startedAt = now()
    let stoppedAt = Infinity
    let count = 0
    while (now() < startedAt + SENDING_MS.before + SENDING_MS.after) {
      if (hasTrouble && stoppedAt === Infinity && now() >= startedAt + SENDING_MS.before) {
        stoppedAt = now()
        stopping.signal('SIGTERM')
      }
      count += 1
      const path = `/photo/${count % LONG_ONE_IN === 0 ? 'long' : 'usual'}/${count}`
      pending.push(send({ address: stopping.address, path, method: 'POST', body: Buffer.alloc(6_000, 'p'), deadlineMs: DEADLINE_MS }))
      await sleep(INTERVAL_MS)
    }
    const results = await Promise.all(pending)
    const runs = new Map(upstreams.flatMap(upstream => upstream.runs.map(run => [run.id, upstream.id])))
    for (const { id, status, outcome, sentAt, endedAt } of results) {
      const sent = stoppedAt === Infinity ? '' : `, sent ${((sentAt - stoppedAt) / 1_000).toFixed(3)} s after the SIGTERM`
      journal.note(`client of ${id}: ${status ?? 'no status'}, ${outcome}, after ${((endedAt - sentAt) / 1_000).toFixed(3)} s${sent}, ran at ${runs.get(id) ?? 'no server'}`)
    }
    return results
      .filter(({ id, outcome, sentAt, endedAt }) => runs.has(id) && ['none', 'early'].includes(outcome) && endedAt - sentAt < DEADLINE_MS &&
        sentAt < stoppedAt + (BOUNDS.grace_s + 1) * 1_000 && !(sentAt <= stoppedAt + EXCUSED_MS))
      .map(({ id, sentAt, endedAt }) => `LOST: ${id}, sent ${Math.round(sentAt - stoppedAt)} ms after the SIGTERM, was passed on to ${runs.get(id)} and cut without an answer ${Math.round(endedAt - stoppedAt)} ms after it`)
  }
})
