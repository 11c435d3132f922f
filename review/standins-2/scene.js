/**
 * Sets up a small deployment for a case, keeps its record and ends everything that was started.
 */
import { mkdtempSync, rmSync, writeFileSync, existsSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createHosts, Machine, sleep } from './platform.js'
import { Backend } from './backend.js'
import { Link } from './link.js'
import { Store } from './store.js'

export const HOST = 'towpath.example'
export const ZONES = { 'orkhon-a': 'orkhon', 'orkhon-b': 'orkhon', 'selenge-a': 'selenge' }
const MAX_CASE_MS = 110_000

export const HELD = 0
export const BROKEN = 1
export const NOT_RUN = 2

/** A route as the operator writes it. */
export function route (name, kind, service, fields = {}) {
  return {
    name, host: HOST, path_prefix: `/${name}/`, kind, timeout_s: 3, target_latency_s: 0.5, priority: kind === 'idempotent' ? 2 : 1, service, attempts: 2, sticky_sessions: true, home_regions: [], ...fields
  }
}

export function configuration (version, routes, services, fields = {}) {
  return {
    version,
    routes,
    services: services.map(service => ({ health_path: '/health', connection_limit: 330, protocol: 'h1', tls: false, cold_start_s: 3, cold_per_s: 10, ...service })),
    limits: { header_bytes: 16_384, body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15 },
    ...fields
  }
}

export class Scene {
  machines = []
  backends = []
  links = []
  #lines = []
  #ids = new Map()
  #events = []
  #startedAt = performance.now()
  #folder = mkdtempSync(join(tmpdir(), 'review-'))
  #nextHost = createHosts()
  hasTrouble = process.env.TROUBLE !== '0'

  constructor (recordPath) {
    this.recordPath = recordPath
    this.store = new Store()
  }

  now () {
    return performance.now() - this.#startedAt
  }

  /** Ids of the requests for which an event was recorded, in order. */
  idsOf (what) {
    return this.#ids.get(what) ?? []
  }

  /** Events of a kind for which `matches` returns true, with their times. */
  timesOf (what, matches) {
    return this.#events.filter(event => event.what === what && matches(event))
  }

  record = (what, fields = {}) => {
    this.#events.push({ ...fields, what, at: this.now() })
    if (fields.id !== undefined) {
      if (!this.#ids.has(what)) this.#ids.set(what, [])
      this.#ids.get(what).push(fields.id)
    }
    this.#lines.push(`${(this.now() / 1_000).toFixed(3)} ${what} ${JSON.stringify(fields)}`)
  }

  async startStore () {
    await this.store.listen(`${await this.#nextHost(8_169)}:8169`)
  }

  async startBackend (options) {
    const backend = new Backend({ slots: 9, queue: 27, workMs: 100, store: this.store, record: this.record, address: `${await this.#nextHost(8_080)}:8080`, ...options })
    await backend.start()
    this.backends.push(backend)
    return backend
  }

  /**
   * Starts one machine in each of the zones; resolves when all are ready. With `hasStoreLinks`, each reaches the store through a
   * link of its own.
   */
  async startMachines (zones, options = {}) {
    const hosts = []
    for (let index = 0; index < zones.length; index += 1) hosts.push(await this.#nextHost(8_161, 8_164, 8_166, 8_167, 9_464))
    const seeds = hosts.slice(0, 3).map(host => `${host}:8166`)
    for (const [index, zone] of zones.entries()) {
      const link = options.hasStoreLinks ? await this.#openLink(this.store.address) : undefined
      const machine = new Machine({ name: `front-${zone}-${index + 1}`, zone, zones: ZONES, host: hosts[index], store: link?.address ?? this.store.address, storeLink: link, seeds, folder: this.#folder, record: this.record, ...options })
      this.machines.push(machine)
      machine.start()
    }
    await Promise.all(this.machines.map(async machine => await machine.untilReady()))
  }

  async #openLink (target) {
    const link = new Link(`${await this.#nextHost(8_169)}:8169`, target)
    await link.listen()
    this.links.push(link)
    return link
  }

  /** Runs `play`, which returns whether the rule was broken and a summary, and exits. */
  async run (play) {
    if (!existsSync('target/launcher.cjs')) {
      process.stderr.write('target/launcher.cjs is missing: run the build of the deploy file in the root of the repository\n')
      process.exit(NOT_RUN)
    }
    for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => process.exit(NOT_RUN))
    let code = NOT_RUN
    let timer
    try {
      const late = new Promise((_resolve, reject) => { timer = setTimeout(() => reject(new Error('the case took too long')), MAX_CASE_MS) })
      const { isBroken, summary } = await Promise.race([play(this), late])
      code = isBroken ? BROKEN : HELD
      this.record('result', { rule: isBroken ? 'broken' : 'held', trouble: this.hasTrouble })
      this.#lines.push(...summary)
      process.stdout.write(`${summary.join('\n')}\nthe rule ${isBroken ? 'was broken' : 'held'}\n`)
    } catch (error) {
      this.record('not-run', { error: String(error?.stack ?? error) })
      process.stderr.write(`the case could not run: ${String(error?.stack ?? error)}\n`)
    }
    clearTimeout(timer)
    for (const backend of this.backends) backend.stop()
    await Promise.all(this.machines.map(async machine => await machine.end()))
    this.links.forEach(link => link.close())
    this.store.close()
    writeFileSync(this.recordPath, `${this.#lines.join('\n')}\n`)
    rmSync(this.#folder, { recursive: true, force: true })
    process.exit(code)
  }
}

export { sleep }
