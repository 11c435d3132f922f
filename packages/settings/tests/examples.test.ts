import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { configurationFileSchema, entrySettingsSchema, parseSettings } from '../src/index.js'

function example (name: string): string {
  return readFileSync(new URL(`../../../examples/${name}`, import.meta.url), 'utf8')
}

it.each(['loopback.jsonc'])('settings example %s is valid, guarding against a first start that fails', name => {
  expect(parseSettings(example(`settings/${name}`), name, entrySettingsSchema).isOk()).toBe(true)
})

describe.each(['association.jsonc', 'consortium.jsonc'])('example %s', name => {
  it('has valid settings and a valid configuration, guarding against examples that no longer match the schemas', () => {
    expect(parseSettings(example(`settings/${name}`), name, entrySettingsSchema).isOk()).toBe(true)
    const file = parseSettings(example(`configuration/${name}`), name, configurationFileSchema)._unsafeUnwrap()
    const instances = file.zones?.reduce((sum, zone) => sum + zone.instances, 0)
    expect([file.zones?.length, instances, file.services?.length, file.places?.length]).toEqual([6, 7, 2, 12])
  })

  it('states the default value of each limit, guarding against examples that differ from the defaults', () => {
    const text = example(`settings/${name}`)
    const stated = parseSettings(text, name, entrySettingsSchema)._unsafeUnwrap()
    const { limits: _limits, ...withoutLimits } = stated
    const withDefaults = parseSettings(JSON.stringify(withoutLimits), name, entrySettingsSchema)._unsafeUnwrap()
    expect(withDefaults.limits).toEqual(stated.limits)
  })
})
