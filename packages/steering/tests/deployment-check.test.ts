import type { Deployment, DeploymentCheckOptions, Team } from '../src/index.js'
import fc from 'fast-check'
import { expect, it } from 'vitest'
import { checkDeployment, compareDeployments } from '../src/index.js'
import { BUY, DEPLOYMENT as FIXTURE, READ, startSteering } from './fixtures.js'

const TEAM: Team = { name: 'one', apiKeys: ['secret-1'], priority: 0, quota: undefined, homeRegions: [] }
const DEPLOYMENT: Deployment = { ...FIXTURE, routes: [READ, { ...BUY, attempts: 1 }] }
const SERVICE = DEPLOYMENT.services[0]
const { limits } = DEPLOYMENT

function check (changes: Partial<Deployment>, options?: DeploymentCheckOptions): readonly string[] {
  return checkDeployment({ ...DEPLOYMENT, ...changes }, options).map(({ severity, entry, text }) => `${severity}: ${entry}: ${text}`)
}

function compare (before: Partial<Deployment>, after: Partial<Deployment>): readonly string[] {
  return compareDeployments({ ...DEPLOYMENT, ...before }, { ...DEPLOYMENT, ...after }).map(({ change, entry, text }) => `${change}: ${entry}: ${text}`)
}

it('finds nothing in a sound deployment, guarding against warnings that operators learn to ignore', () => {
  expect(check({ teams: [TEAM, { ...TEAM, name: 'two', apiKeys: ['secret-2'], homeRegions: ['a'] }] }, { currentVersion: 0, regions: ['a'] })).toEqual([])
})

it.each<[string, Partial<Deployment>, DeploymentCheckOptions?]>([
  ['error: version: 1 is not above the version in force, 1', {}, { currentVersion: 1 }],
  ['error: route "x": hidden by route "read" with the same host and prefix', { routes: [READ, { ...READ, name: 'x', host: 'Shop.Example' }] }],
  ['error: route "read": service "gone" is not in the configuration', { routes: [{ ...READ, parts: [...READ.parts, { service: 'gone', weight: 1 }] }] }],
  ['error: route "read": the weights of its services sum to 0', { routes: [{ ...READ, parts: [{ service: 'shop', weight: 0 }] }] }],
  ['error: team "one": another team has the same name', { teams: [TEAM, { ...TEAM, apiKeys: ['secret-2'] }] }],
  ['error: team "two": 1 of its keys belong to team "one"', { teams: [TEAM, { ...TEAM, name: 'two' }] }],
  ...['read/', '/read', '', '/a b/', '/a?b/'].map((prefix): [string, Partial<Deployment>] =>
    ['warning: route "read": matches no request: the prefix must begin and end with a slash, without blanks, "?" and "#"', { routes: [{ ...READ, prefix }] }]),
  ...['', 'shop.example:80', '*.example', 'a b', 'http://shop.example'].map((host): [string, Partial<Deployment>] =>
    ['warning: route "read": matches no usual request: the host must be a name or an address without a port', { routes: [{ ...READ, host }] }]),
  ['warning: team "two": no request can belong to it: it has no key', { teams: [TEAM, { ...TEAM, name: 'two', apiKeys: [''] }], routes: [{ ...READ, allowsAnonymous: true }] }],
  ['warning: team "one": no request can belong to it: it has no key', { teams: [{ ...TEAM, apiKeys: [] }] }],
  ['warning: team "one": has no home region in common with route "read"', { teams: [{ ...TEAM, homeRegions: ['a'] }], routes: [{ ...READ, homeRegions: ['b'] }] }],
  ['warning: team "one": home region "c" is not among the regions', { teams: [{ ...TEAM, homeRegions: ['a', 'c'] }] }, { regions: ['a', 'b'] }],
  ['warning: route "read": home region "c" is not among the regions', { routes: [{ ...READ, homeRegions: ['a', 'c'] }] }, { regions: ['a', 'b'] }],
  ['warning: service "spare": no route uses it', { services: [SERVICE, { ...SERVICE, name: 'spare' }] }],
  ['warning: service "shop": is listed more than once; the last entry is used', { services: [SERVICE, SERVICE] }],
  ['warning: service "shop": the rate of a cold upstream is 0', { services: [{ ...SERVICE, coldRate: 0 }] }],
  ['warning: route "read": the target latency exceeds the timeout', { routes: [{ ...READ, objectiveMs: 3_001 }] }],
  ['warning: route "read": allows less than 1 attempt', { routes: [{ ...READ, attempts: 0 }] }],
  ['warning: route "buy": more than 1 attempt has no effect: requests of this kind must not run twice', { routes: [{ ...BUY, attempts: 2 }] }],
  ['warning: team "one": the burst of the quota is below 1 request', { teams: [{ ...TEAM, quota: { ratePerSecond: 5, burst: 0.5 } }] }],
  ['warning: limits: the body limit is below the header limit', { limits: { ...limits, bodyBytes: 8_191 } }],
  ['warning: limits: the idle timeout is 0', { limits: { ...limits, idleTimeoutMs: 0 } }]
])('reports just "%s", guarding against a fault that is sent unnoticed', (expected, changes, options) => {
  expect(check(changes, options)).toEqual([expected])
})

it('accepts a team without keys that makes a deployment refuse keys, guarding against advice that opens it', () => {
  expect(check({ teams: [{ ...TEAM, apiKeys: [] }], routes: [{ ...READ, allowsAnonymous: true }] })).toEqual([])
})

it('states each difference by field and only counts keys, guarding against keys on an operator\'s screen', () => {
  expect(compare(
    { teams: [TEAM, { ...TEAM, name: 'old' }] },
    {
      version: 2,
      routes: [{ ...READ, timeoutMs: 9, homeRegions: ['a'] }, { ...BUY, name: 'new' }],
      services: [{ ...SERVICE, coldRate: Infinity }],
      limits: { ...limits, bodyBytes: 5 },
      teams: [{ ...TEAM, apiKeys: ['secret-2', 'secret-3'], quota: { ratePerSecond: 1, burst: 2 } }]
    }
  )).toEqual([
    'changed: version: version: 1 -> 2',
    'changed: route "read": timeoutMs: 3000 -> 9',
    'changed: route "read": homeRegions: [] -> ["a"]',
    'removed: route "buy": ',
    'added: route "new": ',
    'changed: service "shop": coldRate: 10 -> "unlimited"',
    'changed: team "one": quota: none -> {"ratePerSecond":1,"burst":2}',
    'changed: team "one": keys: 2 added, 1 removed',
    'removed: team "old": keys: 1',
    'changed: limits: bodyBytes: 1000000 -> 5'
  ])
})

it('matches further entries of the same name by their order, guarding against a difference that is left out', () => {
  expect(compare({ routes: [READ, { ...READ, prefix: '/a/' }] }, { routes: [READ, { ...READ, prefix: '/b/' }, READ] })).toEqual([
    'changed: route "read" (2): prefix: "/a/" -> "/b/"',
    'added: route "read" (3): '
  ])
})

const name = fc.constantFrom('a', 'b', 'c')
const homeRegions = fc.uniqueArray(name)
const deployments: fc.Arbitrary<Deployment> = fc.record({
  version: fc.nat(9),
  routes: fc.array(fc.record({
    name,
    host: fc.constantFrom('a.example', 'A.example', 'b.example', 'b.example:80'),
    prefix: fc.constantFrom('/', '/a/', '/a/b/', 'a'),
    kind: fc.constantFrom('idempotent', 'non-idempotent', 'upload'),
    timeoutMs: fc.nat(9),
    objectiveMs: fc.nat(9),
    attempts: fc.nat(2),
    priority: fc.nat(2),
    parts: fc.array(fc.record({ service: name, weight: fc.nat(2) }), { minLength: 1, maxLength: 2 }),
    homeRegions,
    allowsAnonymous: fc.boolean(),
    hasAffinity: fc.boolean()
  }), { maxLength: 3 }),
  services: fc.array(fc.record({ name, healthPath: fc.constant('/'), connectionLimit: fc.nat(9), coldMs: fc.nat(9), coldRate: fc.constantFrom(0, 1, Infinity) })),
  limits: fc.record({ headerBytes: fc.nat(9), bodyBytes: fc.nat(9), headerTimeoutMs: fc.nat(9), idleTimeoutMs: fc.nat(9) }),
  teams: fc.option(fc.array(fc.record({
    name, apiKeys: fc.array(fc.constantFrom('', 'secret-1', 'secret-2', 'secret-3', 'secret-4')), priority: fc.nat(2), quota: fc.option(fc.record({ ratePerSecond: fc.nat(9), burst: fc.nat(2) }), { nil: undefined }), homeRegions
  }), { minLength: 1, maxLength: 3 }), { nil: undefined })
})

it('lets the engine find each route and take each key of a deployment without errors, guarding against a check that passes what instances ignore', () => {
  let accepted = 0
  fc.assert(fc.property(deployments, deployment => {
    const problems = checkDeployment(deployment)
    if (problems.some(({ severity }) => severity === 'error')) return
    accepted += 1
    const steering = startSteering([], {}, deployment)
    expect(steering.deployment()).toBe(deployment)
    for (const route of deployment.routes) {
      const isUnmatchable = problems.some(({ entry, text }) => entry === `route "${route.name}"` && text.startsWith('matches no'))
      if (!isUnmatchable) expect(steering.findRoute(route.host.toLowerCase(), `${route.prefix}x`)).toBe(route)
    }
    const notes = startSteering([], {}, DEPLOYMENT).handle({ type: 'deployment-received', deployment: { ...deployment, version: 10 } })
    expect(notes.filter(command => command.type === 'note' && command.subject === 'team-key-conflict')).toEqual([])
  }), { numRuns: 500 })
  expect(accepted).toBeGreaterThan(20)
})

it('finds no difference between a deployment and itself, guarding against differences that are only of form', () => {
  fc.assert(fc.property(deployments, deployment => {
    expect(compareDeployments(deployment, structuredClone(deployment))).toEqual([])
  }))
})

it('states no key in a problem or difference, guarding against keys on an operator\'s screen', () => {
  fc.assert(fc.property(deployments, deployments, (before, after) => {
    expect(JSON.stringify([checkDeployment(after), compareDeployments(before, after)])).not.toContain('secret')
  }))
})
