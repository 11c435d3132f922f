import { readFileSync } from 'node:fs'
import { expect, it } from 'vitest'
import { createCli, EXIT } from '../src/index.js'

const page = readFileSync(new URL('../../../docs/cli.md', import.meta.url), 'utf8')
const rows = page.split('\n').filter(line => line.startsWith('| '))

const commands = createCli().definitions().filter(command => command.path !== 'arbutustray -h')

it('docs/cli.md describes exactly the commands that exist', () => {
  const headings = [...page.matchAll(/^### `(arbutustray \w+)/gm)].map(match => match[1])
  expect([...headings].sort()).toEqual(commands.map(command => command.path).sort())
  for (const command of commands) expect(page).toContain(command.description?.trim())
})

it('docs/cli.md describes exactly the options that exist, with the description of the code', () => {
  const options = new Map(commands.flatMap(command => command.options).map(option => [option.definition.split(' ')[0], option.description]))
  const described = rows.map(row => /^\| `(--[a-z-]+)[^|]*\| (.*) \|$/.exec(row)).filter(match => match !== null)
  expect(new Map(described.map(match => [match[1], match[2]]))).toEqual(options)
})

it('docs/cli.md lists exactly the exit codes that exist', () => {
  const exitCodes = rows.map(row => /^\| (\d) \| `(\w+)` \|/.exec(row)).filter(match => match !== null)
  expect(Object.fromEntries(exitCodes.map(match => [match[2], Number(match[1])]))).toEqual(EXIT)
})
