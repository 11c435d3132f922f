/**
 * Guards against requests that match a wrong route, such as a shorter prefix or a prefix that ends within a path
 * segment.
 */
import { expect, it } from 'vitest'
import { createRouteIndex } from '../src/index.js'
import { DEPLOYMENT, READ } from './fixtures.js'

const index = createRouteIndex({
  ...DEPLOYMENT,
  routes: [READ, { ...READ, name: 'deep', prefix: '/read/a/b/' }, { ...READ, name: 'all', host: 'Other.example', prefix: '/' }]
})

it.each([
  ['shop.example', '/read/x', 'read'],
  ['shop.example', '/read/a/b/c/d', 'deep'],
  ['shop.example', '/read/a/bc', 'read'],
  ['shop.example', '/read', undefined],
  ['shop.example', '/', undefined],
  ['other.example', '/anything', 'all'],
  ['unknown.example', '/read/x', undefined]
])('%s%s matches the route with the longest prefix (%s)', (host, path, name) => {
  expect(index.find(host, path)?.name).toBe(name)
})
