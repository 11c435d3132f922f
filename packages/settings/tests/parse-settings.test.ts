import { describe, expect, it } from 'vitest'
import { configurationFileSchema, entrySettingsSchema, formatSettingsError, parseSettings } from '../src/index.js'

const VALID = `{
  // comment
  "instanceId": "i1", "zone": "z1",
  "callerAddress": "127.0.0.1:1", "operatorAddress": "[::1]:2", "peerAddress": "host:3",
  "platformUrl": "http://127.0.0.1:7000",
  "peerToken": "p", "operatorToken": "o",
}`

function problemsOf (text: string): string {
  return parseSettings(text, 'f.jsonc', entrySettingsSchema).match(() => '', formatSettingsError)
}

describe('readSettings', () => {
  it('accepts comments and trailing commas and fills in defaults', () => {
    const settings = parseSettings(VALID, 'f.jsonc', entrySettingsSchema)._unsafeUnwrap()
    expect(settings.logLevel).toBe('info')
    expect(settings.limits.headersTimeoutMs).toBe(10_000)
    expect(settings.traces.sampleShare).toBe(0)
  })

  it.each([
    ['a misspelt key', VALID.replace('"zone"', '"zones"'), ['f.jsonc:1: zone: expected string', 'f.jsonc:3: zones: expected no such key']],
    ['a wrong type', VALID.replace('"http://127.0.0.1:7000"', '7000'), ['f.jsonc:5: platformUrl: expected an http or https URL']],
    ['an address without port', VALID.replace('127.0.0.1:1', 'localhost'), ['f.jsonc:4: callerAddress: expected host:port']],
    ['a port out of range', VALID.replace('host:3', 'host:70000'), ['f.jsonc:4: peerAddress: expected a port of at most 65535']],
    ['a repeated key', VALID.replace('"zone": "z1"', '"instanceId": "i2"'), ['f.jsonc:3: instanceId: expected each key once per object']],
    ['broken JSON', VALID.replace('"z1",', '"z1"'), ['f.jsonc:4: (syntax): expected JSON with comments (CommaExpected)']],
    ['an empty file', '', ['f.jsonc:1: (syntax): expected JSON with comments (ValueExpected)']]
  ])('reports file, line, key and what is expected for %s, guarding against errors that do not say where the mistake is', (_name, text, lines) => {
    for (const line of lines) expect(problemsOf(text)).toContain(line)
  })
})

describe('configurationFileSchema', () => {
  it('reports references to missing rows and duplicate rows with their line', () => {
    const text = `{
      "zones": [{ "id": "z1", "region": "r1", "instances": 1 }],
      "regions": [{ "id": "r2" }],
      "places": [
        { "service": "s", "zone": "z1" },
        { "service": "s", "zone": "z1" }
      ]
    }`
    const error = parseSettings(text, 'c.jsonc', configurationFileSchema)._unsafeUnwrapErr()
    expect(formatSettingsError(error)).toBe([
      'c.jsonc:2: zones[0].region: expected the id of a row in "regions"',
      'c.jsonc:6: places[1]: expected a unique service and zone'
    ].join('\n'))
  })
})
