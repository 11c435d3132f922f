import { readFileSync } from 'node:fs'
import { PassThrough } from 'node:stream'
import { expect, it } from 'vitest'
import { LOG_EVENTS, createLog } from '../src/index.js'
import type { LogEvent } from '../src/index.js'

const events = Object.entries<LogEvent>(LOG_EVENTS)

it('gives every event a unique number, guarding against alerts that match two events', () => {
  expect(new Set(events.map(([, event]) => event.number)).size).toBe(events.length)
})

it('declares every field that a message uses, guarding against placeholders that are never filled in', () => {
  for (const [id, event] of events) {
    const used = [...event.message.matchAll(/\{(\w+)\}/g)].map(match => match[1])
    expect(event.fields, id).toEqual(expect.arrayContaining(used))
  }
})

it('has exactly the events of docs/log-events.md, guarding against a catalogue that is out of date', () => {
  const page = readFileSync(new URL('../../../docs/log-events.md', import.meta.url), 'utf8')
  const rows = page.split('\n').filter(line => /^\| \d/.test(line))
  expect(rows).toEqual(events.map(([id, event]) =>
    `| ${event.number} | \`${id}\` | ${event.level} | ${event.message.replaceAll('|', '\\|')} | ${event.fields.join(', ')} |`))
})

it('writes one JSON line per event and none below the configured level, guarding against logs that can not be parsed', () => {
  const stream = new PassThrough()
  const log = createLog({ level: 'info', stream })
  log('platform-available', { call: 'list' })
  log('peer-unreachable', { peerId: 'i2', error: 'refused' })
  const lines = String(stream.read()).trim().split('\n').map(line => JSON.parse(line))
  expect(lines).toMatchObject([
    { id: 'platform-available', number: 5003, level: 'info', message: 'platform call list succeeds again', fields: { call: 'list' } }
  ])
})
