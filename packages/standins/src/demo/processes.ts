/**
 * Starts the processes of the demo and of the failure tests: stand-ins and entry instances. Settings files are written
 * to a temporary directory, which is removed on `close` or when this process exits.
 */
import type { Child, Children } from './children.js'
import type { EntryInstance } from './topology.js'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { createChildren } from './children.js'

/** Bearer token that all operator ports accept. */
export const OPERATOR_TOKEN = 'demo-operator-token'

/** Stand-ins and entry instances, started from the built packages. */
export interface Processes {
  readonly children: Children
  /** Starts a stand-in and returns its parsed ready line. `path` is relative to the package's `dist`. */
  readonly startStandin: (name: string, path: string, args?: readonly string[]) => Promise<{ readonly child: Child, readonly ready: any }>
  readonly startEntry: (instance: EntryInstance, platformUrl: string, settings?: Readonly<Record<string, unknown>>) => Child
  /** Kills all children and removes the settings files. */
  readonly close: () => void
}

function scriptPath (path: string): string {
  return fileURLToPath(new URL(`../../${path}`, import.meta.url))
}

/** Creates the temporary directory; no process is started yet. */
export function createProcesses (): Processes {
  const children = createChildren()
  const directory = mkdtempSync(join(tmpdir(), 'arbutustray-processes-'))
  const removeFiles = (): void => rmSync(directory, { recursive: true, force: true })
  process.once('exit', removeFiles)
  return {
    children,
    startStandin: async (name, path, args = []) => {
      const child = children.start(name, scriptPath(`dist/${path}`), args)
      return { child, ready: JSON.parse(await child.nextLine()) }
    },
    startEntry: (instance, platformUrl, settings = {}) => {
      const fileName = join(directory, `${instance.id}.json`)
      writeFileSync(fileName, JSON.stringify({
        instanceId: instance.id,
        zone: instance.zone,
        callerAddress: instance.caller,
        operatorAddress: instance.operator,
        peerAddress: instance.peer,
        platformUrl,
        peerToken: 'demo-peer-token',
        operatorToken: OPERATOR_TOKEN,
        logLevel: 'warn',
        ...settings
      }))
      return children.start(instance.id, scriptPath('../entry/dist/main.js'), [fileName])
    },
    close: () => {
      children.killAll()
      removeFiles()
    }
  }
}

/** Sends a JSON request to a stand-in; throws if the status of the response is not 200. */
export async function send (url: string, method: 'GET' | 'PUT' | 'POST', body?: unknown): Promise<any> {
  const response = await request(url, { method, body: body === undefined ? null : JSON.stringify(body) })
  if (response.statusCode !== 200) throw new Error(`${method} ${url}: ${response.statusCode}`)
  return await response.body.json()
}
