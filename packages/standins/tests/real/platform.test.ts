import type { HttpPlatform } from '@arbutustray/object-store'
import type { PlatformStandin } from '../../src/index.js'
import { createConfigurationWriter, createHttpPlatform } from '@arbutustray/object-store'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { startPlatform } from '../../src/index.js'

describe('HTTP client against the platform stand-in', () => {
  let standin: PlatformStandin
  let client: HttpPlatform

  beforeEach(async () => {
    standin = await startPlatform()
    client = createHttpPlatform({ url: standin.url, timeoutMs: 1_000 })
  })

  afterEach(async () => {
    await client.close()
    await standin.close()
  })

  const never = new AbortController().signal

  it('writes conditionally and reads back, guarding against two writes on one version', async () => {
    expect((await client.get('x'))._unsafeUnwrapErr()).toEqual({ type: 'not-found' })
    expect((await client.put('x', { a: 1 }, 0))._unsafeUnwrap()).toBe(1)
    expect((await client.put('x', { a: 2 }, 0))._unsafeUnwrapErr()).toEqual({ type: 'conflict', currentVersion: 1 })
    expect((await client.get('x'))._unsafeUnwrap()).toEqual({ version: 1, value: { a: 1 } })
    expect((await client.put('x', 'x'.repeat(1_000_001), 1))._unsafeUnwrapErr().type).toBe('malformed')
  })

  it('ends a watch at the next write, and on abort', async () => {
    const watch = client.watch('x', 0, never)
    await client.put('x', 'v', 0)
    expect((await watch)._unsafeUnwrap()).toEqual({ version: 1, value: 'v' })
    const abort = new AbortController()
    const aborted = client.watch('x', 1, abort.signal)
    abort.abort()
    expect((await aborted)._unsafeUnwrapErr().type).toBe('unavailable')
  })

  it('classifies failed writes by their possible effect, guarding against `unavailable` for a write that took effect', async () => {
    standin.switches.loseReplies = 1
    expect((await client.put('x', 1, 0))._unsafeUnwrapErr().type).toBe('reply-lost')
    expect((await client.get('x'))._unsafeUnwrap().version).toBe(1)
    standin.switches.slowMs = 2_000
    expect((await client.get('x'))._unsafeUnwrapErr().type).toBe('unavailable')
    expect((await client.put('x', 2, 1))._unsafeUnwrapErr().type).toBe('reply-lost')
    standin.switches.slowMs = 0
    standin.switches.down = true
    expect((await client.put('x', 2, 1))._unsafeUnwrapErr().type).toBe('reply-lost')
    await standin.close()
    // A new client without pooled connections: a pooled one may accept bytes before it notices that the server closed it.
    const fresh = createHttpPlatform({ url: standin.url })
    expect((await fresh.put('x', 2, 1))._unsafeUnwrapErr().type).toBe('unavailable')
    await fresh.close()
  })

  it('commits although a reply is lost, and reports an outage as `unavailable`', async () => {
    const writer = createConfigurationWriter({ store: client, deadlineMs: 2_000 })
    const change = { baseVersion: 0, changeId: 'a', actor: 'o', reason: 'r', at: 0, operations: [] }
    standin.switches.loseReplies = 1
    expect((await writer.commit(change))._unsafeUnwrap().version).toBe(1)
    standin.switches.down = true
    expect((await writer.commit({ ...change, changeId: 'b', baseVersion: 1 }))._unsafeUnwrapErr().type).toBe('unavailable')
  })

  it('shows changes of the instance list after the lag', async () => {
    standin.switches.lagMs = 500
    const entry = { id: 'u1', role: 'upstream' as const, service: 's', zone: 'z', address: '127.0.0.1:1', state: 'live' as const }
    standin.putInstances([entry])
    expect((await client.list())._unsafeUnwrap()).toEqual([])
    await vi.waitFor(async () => expect((await client.list())._unsafeUnwrap()).toEqual([entry]), { timeout: 5_000 })
  })
})
