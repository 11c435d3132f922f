import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { configurationFile, entrySettings, readSettings } from '../src/index.js'

function example (name: string): string {
  return readFileSync(new URL(`../../../examples/${name}`, import.meta.url), 'utf8')
}

it.each(['loopback.jsonc'])('settings example %s is accepted, guarding against a first start that fails', name => {
  expect(readSettings(example(`settings/${name}`), name, entrySettings).isOk()).toBe(true)
})

describe.each(['association.jsonc', 'consortium.jsonc'])('example %s', name => {
  it('is accepted, guarding against examples that no longer fit the schema', () => {
    expect(readSettings(example(`settings/${name}`), name, entrySettings).isOk()).toBe(true)
    const file = readSettings(example(`configuration/${name}`), name, configurationFile)._unsafeUnwrap()
    const instances = file.zones?.reduce((sum, zone) => sum + zone.instances, 0)
    expect([file.zones?.length, instances, file.services?.length, file.places?.length]).toEqual([6, 7, 2, 12])
  })

  it('shows the default of each limit, guarding against comments that state another value', () => {
    const text = example(`settings/${name}`)
    const shown = readSettings(text, name, entrySettings)._unsafeUnwrap()
    const { limits: _limits, ...rest } = shown
    const filled = readSettings(JSON.stringify(rest), name, entrySettings)._unsafeUnwrap()
    expect(filled.limits).toEqual(shown.limits)
  })
})
