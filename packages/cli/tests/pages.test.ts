import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { dirname, join, normalize } from 'node:path'
import { fileURLToPath } from 'node:url'
import { expect, it } from 'vitest'

const root = fileURLToPath(new URL('../../../', import.meta.url))

const pages = readdirSync(join(root, 'docs'), { recursive: true, encoding: 'utf8' })
  .filter(name => name.endsWith('.md')).map(name => join('docs', name))

/** Targets of a page's relative links, as paths from the root of the repository. */
function links (page: string): readonly string[] {
  return [...readFileSync(join(root, page), 'utf8').matchAll(/\]\(([^)#\s]+)[^)]*\)/g)]
    .map(match => match[1])
    .filter(target => !/^[a-z]+:/.test(target))
    .map(target => normalize(join(dirname(page), target)))
}

it('every relative link of the pages points to a file, guarding against links that a moved file broke', () => {
  const broken = ['README.md', ...pages].flatMap(page =>
    links(page).filter(target => !existsSync(join(root, target))).map(target => `${page}: ${target}`))
  expect(broken).toEqual([])
})

it('every page can be reached by links from docs/README.md, guarding against pages that nobody finds', () => {
  const reached = new Set(['docs/README.md'])
  for (const page of reached) if (page.endsWith('.md')) links(page).forEach(target => reached.add(target))
  expect(pages.filter(page => !reached.has(page))).toEqual([])
})

it('docs/PROOFS.md and docs/security.md name only test files that exist, guarding against proofs whose test was moved or removed', () => {
  const named = ['docs/PROOFS.md', 'docs/security.md'].map(page =>
    [...readFileSync(join(root, page), 'utf8').matchAll(/packages\/[a-z]+\/tests\/[\w./-]+\w/g)].map(match => match[0]))
  for (const files of named) expect(files.length).toBeGreaterThan(0)
  expect(named.flat().filter(file => !existsSync(join(root, file)))).toEqual([])
})
