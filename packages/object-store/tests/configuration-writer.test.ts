import type { Configuration } from '@arbutustray/core'
import type { ConfigurationWriter, ObjectStore } from '../src/index.js'
import fc from 'fast-check'
import { EMPTY_CONFIGURATION, RECENT_CHANGES } from '@arbutustray/core'
import { err, ok } from 'neverthrow'
import { describe, expect, it, vi } from 'vitest'
import { CONFIGURATION_OBJECT, createConfigurationWriter, createMemoryPlatform } from '../src/index.js'

const change = (changeId: string, baseVersion = 0, region = changeId) => ({
  baseVersion,
  changeId,
  actor: 'operator',
  reason: 'test',
  at: 0,
  operations: [{ table: 'regions' as const, put: { id: region } }]
})

async function commit (writer: ConfigurationWriter, changeId: string, baseVersion = 0) {
  const result = writer.commit(change(changeId, baseVersion))
  await vi.advanceTimersByTimeAsync(10_000)
  return await result
}

async function stored (store: ObjectStore): Promise<Configuration> {
  return (await store.get(CONFIGURATION_OBJECT)).map(object => object.value as Configuration).unwrapOr(EMPTY_CONFIGURATION)
}

describe('configuration writer', () => {
  it('reads the configuration back after a lost reply, guarding against a second write or a false error', async () => {
    const platform = createMemoryPlatform()
    platform.switches.loseReplies = 1
    const result = await commit(createConfigurationWriter({ store: platform }), 'a')
    expect(result._unsafeUnwrap().version).toBe(1)
    expect((await stored(platform)).recent.map(recent => recent.changeId)).toEqual(['a'])
  })

  it('returns the stored configuration for a repeated change id, guarding against a change that is applied twice', async () => {
    const platform = createMemoryPlatform()
    const writer = createConfigurationWriter({ store: platform })
    await commit(writer, 'a')
    await commit(writer, 'b', 1)
    expect((await commit(writer, 'a'))._unsafeUnwrap().version).toBe(2)
  })

  it('returns `unavailable` if nothing was written and `unknown` if a write may have taken effect', async () => {
    const platform = createMemoryPlatform()
    const writer = createConfigurationWriter({ store: platform })
    platform.switches.down = true
    expect((await commit(writer, 'a'))._unsafeUnwrapErr().type).toBe('unavailable')
    platform.switches.down = false
    const store: ObjectStore = {
      ...platform,
      put: async (...write) => {
        platform.switches.loseReplies = 1
        const result = await platform.put(...write)
        platform.switches.down = true
        return result
      }
    }
    expect((await commit(createConfigurationWriter({ store }), 'a'))._unsafeUnwrapErr().type).toBe('unknown')
  })

  it('returns `conflict` if the changes after the base are no longer stored, guarding against overwriting them', async () => {
    const platform = createMemoryPlatform()
    const recent = Array.from({ length: RECENT_CHANGES }, (_, index) => ({ ...change(`c${index}`), version: index + 2 }))
    await platform.put(CONFIGURATION_OBJECT, { ...EMPTY_CONFIGURATION, version: RECENT_CHANGES + 1, recent }, 0)
    expect((await commit(createConfigurationWriter({ store: platform }), 'x', 0))._unsafeUnwrapErr().type).toBe('conflict')
  })

  it('returns at its deadline while a store call hangs, guarding against a confirmation that never gets a response', async () => {
    const platform = createMemoryPlatform()
    const hang = async (): Promise<never> => await new Promise(() => {})
    const read = createConfigurationWriter({ store: { ...platform, get: hang } }).commit(change('a'))
    const write = createConfigurationWriter({ store: { ...platform, put: hang } }).commit(change('a'))
    await vi.advanceTimersByTimeAsync(5_000)
    expect([(await read)._unsafeUnwrapErr().type, (await write)._unsafeUnwrapErr().type]).toEqual(['unavailable', 'unknown'])
  })

  it('rejects a change if the stored version is older than the base, guarding against a rollback', async () => {
    const result = await commit(createConfigurationWriter({ store: createMemoryPlatform() }), 'a', 5)
    expect(result._unsafeUnwrapErr().type).toBe('rejected')
  })

  it('reports the true outcome of concurrent commits under random failures, guarding against two commits on one base', async () => {
    const outcome = fc.constantFrom('ok', 'not-sent', 'lost-before', 'lost-after', 'read-fails')
    await fc.assert(fc.asyncProperty(fc.array(outcome, { maxLength: 40 }), async outcomes => {
      const platform = createMemoryPlatform()
      let calls = 0
      const store: ObjectStore = {
        ...platform,
        get: async name => outcomes[calls++] === 'read-fails' ? err({ type: 'unavailable', reason: 'test' }) : await platform.get(name),
        put: async (...write) => {
          const failure = outcomes[calls++]
          if (failure === 'not-sent') return err({ type: 'unavailable', reason: 'test' })
          if (failure === 'lost-before') return err({ type: 'reply-lost', reason: 'test' })
          const result = await platform.put(...write)
          return failure === 'lost-after' && result.isOk() ? err({ type: 'reply-lost', reason: 'test' }) : result
        }
      }
      const ids = ['a', 'b', 'c']
      const commits = ids.map(async id => await createConfigurationWriter({ store, deadlineMs: 1_000 }).commit(change(id)))
      await vi.advanceTimersByTimeAsync(5_000)
      const results = await Promise.all(commits)
      const configuration = await stored(platform)
      const written = configuration.recent.map(recent => recent.changeId)
      expect(written.length).toBeLessThanOrEqual(1)
      expect(configuration.version).toBe(written.length)
      ids.forEach((id, index) => {
        const result = results[index]!
        if (result.isOk()) expect(written).toEqual([id])
        else if (result.error.type !== 'unknown') expect(written).not.toContain(id)
      })
    }))
  })
})

describe('memory platform', () => {
  it('ends a watch at the next write, guarding against a change that is reported only at the time limit', async () => {
    const platform = createMemoryPlatform()
    const watch = platform.watch('x', 0, new AbortController().signal)
    await platform.put('x', { a: 1 }, 0)
    expect(await watch).toEqual(ok({ version: 1, value: { a: 1 } }))
    const idle = platform.watch('x', 1, new AbortController().signal)
    await vi.advanceTimersByTimeAsync(25_000)
    expect(await idle).toEqual(ok(undefined))
  })
})
