import { expect, it } from 'vitest'
import { parseServicePath } from '../src/service-path.js'

const PREFIX = '/v1/services/'

it('returns the path decoded for matching and as sent for forwarding, guarding against a bypass of protected routes', () => {
  expect(parseServicePath('/v1/services/s/%63laims//7?a=/..', PREFIX))
    .toEqual({ service: 's', requestTarget: '/%63laims//7?a=/..', path: '/claims/7' })
  expect(parseServicePath('/v1/services/s', PREFIX)).toEqual({ service: 's', requestTarget: '/', path: '/' })
  expect(parseServicePath('/v1/services/s?x=1', PREFIX)).toEqual({ service: 's', requestTarget: '/?x=1', path: '/' })
})

it('rejects paths that an upstream could resolve to another route', () => {
  for (const url of ['s/../claims', 's/a/%2e%2e/claims', 's/./claims', 's/%', 's/a%5cb', 's/%00', '/claims', '']) {
    expect(parseServicePath(PREFIX + url, PREFIX), url).toBeUndefined()
  }
})
