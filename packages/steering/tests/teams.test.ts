/**
 * Guards against requests that run for a team that did not send them, run outside the home regions, or use up a quota
 * although they did not run.
 */
import type { Deployment, Dispatch, Respond, Steering, SteeringCommand, SteeringEvent, Team, TeamQuota } from '../src/index.js'
import { describe, expect, it, vi } from 'vitest'
import { createSteering } from '../src/index.js'
import { arrival, BUY, DEPLOYMENT, OPTIONS, READ, startSteering, upstreamEntry } from './fixtures.js'

const ONE: Team = { name: 'one', apiKeys: ['key-1', 'key-1b'], priority: 0, quota: undefined, homeRegions: [] }
const TWO: Team = { ...ONE, name: 'two', apiKeys: ['key-2'], priority: 1 }
const HOME: Team = { ...ONE, name: 'home', apiKeys: ['key-home'], homeRegions: ['b'] }
const OPEN_READ = { ...READ, name: 'open', prefix: '/open/', allowsAnonymous: true }
const WITH_TEAMS: Deployment = { ...DEPLOYMENT, routes: [READ, BUY, OPEN_READ], teams: [ONE, TWO, HOME] }
const ENTRIES = [upstreamEntry('near', { zone: 'a1' }), upstreamEntry('far', { zone: 'b1', address: '10.0.0.2:1' })]

let lastId = 0

function withKey (path: string, apiKey: string | undefined, objectKey?: string): SteeringEvent {
  lastId += 1
  return { ...arrival(`r${lastId}`, path, objectKey), apiKey } as SteeringEvent
}

function send (steering: Steering, path: string, apiKey: string | undefined, objectKey?: string): Dispatch | Respond {
  const [command] = steering.handle(withKey(path, apiKey, objectKey))
  if (command.type !== 'dispatch' && command.type !== 'respond') throw new Error(command.type)
  return command
}

function outcomeOf (command: SteeringCommand): unknown {
  if (command.type === 'dispatch') return ['dispatch', command.team]
  return command.type === 'respond' ? [command.status, command.reason, command.retryAfterMs, command.team] : command.type
}

/** A quota that records its calls and refuses the teams in `exhausted`. */
function recordingQuota (exhausted: readonly string[] = []): TeamQuota & { readonly calls: string[] } {
  const calls: string[] = []
  return {
    calls,
    tryAcquire: ({ name }) => {
      calls.push(`acquire ${name}`)
      return exhausted.includes(name) ? { admitted: false, retryAfterMs: 700 } : { admitted: true, retryAfterMs: 0 }
    },
    giveBack: ({ name }) => { calls.push(`give back ${name}`) }
  }
}

describe('identification', () => {
  it.each([
    ['/read/1', 'key-1', ['dispatch', 'one']],
    ['/read/1', 'key-1b', ['dispatch', 'one']],
    ['/buy/1', 'key-2', ['dispatch', 'two']],
    ['/read/1', 'key-3', [401, 'unknown-key', undefined, undefined]],
    ['/read/1', 'KEY-1', [401, 'unknown-key', undefined, undefined]],
    ['/read/1', 'key-', [401, 'unknown-key', undefined, undefined]],
    ['/read/1', '', [401, 'unknown-key', undefined, undefined]],
    ['/open/1', '', [401, 'unknown-key', undefined, undefined]],
    ['/open/1', 'key-3', [401, 'unknown-key', undefined, undefined]],
    ['/open/1', 'key-1', ['dispatch', 'one']],
    ['/open/1', undefined, ['dispatch', undefined]],
    ['/read/1', undefined, [401, 'no-key', undefined, undefined]],
    ['/nowhere/', 'key-3', [404, 'no-route', undefined, undefined]],
    ['/nowhere/', undefined, [404, 'no-route', undefined, undefined]]
  ])('answers %s with the key %j by %j, guarding against requests that run for a wrong team or for none', (path, apiKey, outcome) => {
    expect(outcomeOf(send(startSteering(ENTRIES, {}, WITH_TEAMS), path, apiKey))).toEqual(outcome)
  })

  it('ignores keys in a deployment without teams, guarding against refusals by a deployment that does not identify requests', () => {
    const steering = startSteering(ENTRIES)
    for (const apiKey of [undefined, '', 'key-3']) expect(outcomeOf(send(steering, '/read/1', apiKey))).toEqual(['dispatch', undefined])
  })

  it('answers 503 before a deployment is known, guarding against a 401 for a key that is valid', () => {
    for (const apiKey of ['key-1', '', undefined]) expect(outcomeOf(send(createSteering(OPTIONS), '/read/1', apiKey))).toEqual([503, 'no-deployment', 300, undefined])
  })

  it('looks each request up in the newest version, guarding against keys that stay valid after they were removed', () => {
    const steering = startSteering(ENTRIES, {}, WITH_TEAMS)
    expect(outcomeOf(send(steering, '/read/1', 'key-2'))).toEqual(['dispatch', 'two'])
    steering.handle({ type: 'deployment-received', deployment: { ...WITH_TEAMS, version: 2, teams: [{ ...ONE, apiKeys: ['key-new'] }] } })
    expect(['key-1', 'key-2', 'key-new'].map(key => outcomeOf(send(steering, '/read/1', key)))).toEqual([
      [401, 'unknown-key', undefined, undefined], [401, 'unknown-key', undefined, undefined], ['dispatch', 'one']
    ])
  })

  it('keeps the keys when an older version arrives, guarding against removed keys that an instance out of date brings back', () => {
    const steering = startSteering(ENTRIES, {}, { ...WITH_TEAMS, version: 5, teams: [ONE] })
    steering.handle({ type: 'deployment-received', deployment: { ...WITH_TEAMS, version: 4 } })
    expect(outcomeOf(send(steering, '/read/1', 'key-2'))).toContain(401)
  })

  it('gives a key of two teams to the first and reports it without the key, guarding against keys in the log', () => {
    const steering = startSteering(ENTRIES)
    const teams = [ONE, { ...TWO, apiKeys: ['key-1', 'key-2', 'key-1b', ''] }, { ...HOME, apiKeys: ['', 'key-home', 'key-home'] }]
    const notes = steering.handle({ type: 'deployment-received', deployment: { ...WITH_TEAMS, version: 2, teams } })
    expect(notes).toMatchObject([{ subject: 'deployment' }, { subject: 'team-key-conflict', id: 'two', detail: '2 of its API keys belong to one' }])
    for (const key of ['key-1', 'key-1b', 'key-home']) expect(JSON.stringify(notes)).not.toContain(key)
    expect(outcomeOf(send(steering, '/read/1', 'key-1'))).toEqual(['dispatch', 'one'])
    expect(outcomeOf(send(steering, '/read/1', ''))).toContain(401)
  })

  it('names the team on each attempt of a request, guarding against a retry that reaches an upstream without a team', () => {
    const steering = startSteering(ENTRIES, {}, WITH_TEAMS)
    const first = send(steering, '/read/1', 'key-1') as Dispatch
    const [second] = steering.handle({ type: 'attempt-refused', attemptId: first.attemptId, cause: 'shed' })
    expect(outcomeOf(second)).toEqual(['dispatch', 'one'])
  })
})

describe('home regions', () => {
  const route = (homeRegions: readonly string[]): Deployment => ({ ...WITH_TEAMS, routes: [{ ...READ, homeRegions }] })

  it.each([
    [[], 'key-home', 'far'],
    [['a'], 'key-1', 'near'],
    [['a', 'b'], 'key-home', 'far'],
    [['b'], 'key-1', 'far']
  ])('with the regions %j of the route and the key %s sends requests only to %s, guarding against one of the two lists being ignored', (regions, key, expected) => {
    for (const objectKey of [undefined, ...Array.from({ length: 30 }, (_, index) => `object-${index}`)]) {
      const steering = startSteering(ENTRIES, {}, route(regions))
      const command = send(steering, '/read/1', key, objectKey)
      expect(command).toMatchObject({ type: 'dispatch', upstreamId: expected })
      // A refused or slow attempt must not move the request to the other region.
      const { attemptId } = command as Dispatch
      expect(steering.handle({ type: 'attempt-refused', attemptId, cause: 'shed' })).toMatchObject([{ type: 'respond' }])
    }
  })

  it('refuses a request without a common region, guarding against an empty intersection that is taken for all regions', () => {
    const quota = recordingQuota()
    const steering = startSteering(ENTRIES, { teamQuota: quota }, route(['a']))
    expect(outcomeOf(send(steering, '/read/1', 'key-home'))).toEqual([503, 'no-upstream', 2_000, 'home'])
    expect(quota.calls).toEqual(['acquire home', 'give back home'])
  })

  it('hedges only in the home regions, guarding against a second attempt elsewhere', () => {
    const steering = startSteering(ENTRIES, {}, WITH_TEAMS)
    expect(send(steering, '/read/1', 'key-home')).toMatchObject({ upstreamId: 'far' })
    vi.advanceTimersByTime(800)
    expect(steering.handle({ type: 'tick' }).filter(({ type }) => type === 'dispatch')).toEqual([])
    expect(send(steering, '/read/1', 'key-1')).toMatchObject({ type: 'dispatch' })
    vi.advanceTimersByTime(800)
    expect(steering.handle({ type: 'tick' }).filter(({ type }) => type === 'dispatch')).toHaveLength(1)
  })

  it('does not use an evacuated zone of a home region, guarding against home regions that override an evacuation', () => {
    const steering = startSteering(ENTRIES, {}, WITH_TEAMS)
    steering.handle({ type: 'evacuations-received', zones: ['b1'] })
    expect(outcomeOf(send(steering, '/read/1', 'key-home'))).toEqual(expect.arrayContaining([503, 'no-upstream']))
  })
})

describe('priority', () => {
  const LOW_ROUTE = { ...OPEN_READ, priority: 3 }
  const HIGH_ROUTE = { ...OPEN_READ, name: 'high', prefix: '/high/', priority: 0 }

  /** Whether a request is admitted when its answer is expected in time, but after more than 1.7 objectives. */
  function isAdmitted (teams: readonly Team[] | undefined, path: string, apiKey: string | undefined): boolean {
    const [near] = ENTRIES
    const steering = startSteering([{ ...near, slots: 1 }], {}, { ...WITH_TEAMS, routes: [LOW_ROUTE, HIGH_ROUTE], teams })
    const [first] = steering.handle({ ...arrival('first', '/high/1'), apiKey: teams?.[0].apiKeys[0] } as SteeringEvent) as readonly Dispatch[]
    vi.advanceTimersByTime(300)
    steering.handle({ type: 'attempt-answered', attemptId: first.attemptId, status: 200, load: { running: 1, waiting: 4, slots: 1, slowdown: 1 } })
    return send(steering, path, apiKey).type === 'dispatch'
  }

  it('admits only the most urgent team beyond the limit of lower priorities, guarding against a team\'s priority that is ignored', () => {
    const teams = [ONE, TWO]
    expect([isAdmitted(teams, '/high/1', 'key-1'), isAdmitted(teams, '/high/1', 'key-2'), isAdmitted(teams, '/high/1', undefined)]).toEqual([true, false, false])
  })

  it('holds back no team of equal priority, guarding against anonymous requests and teams without keys that change the order', () => {
    const teams = [ONE, { ...TWO, priority: 0 }]
    expect([isAdmitted(teams, '/high/1', 'key-2'), isAdmitted(teams, '/high/1', undefined)]).toEqual([true, true])
    expect(isAdmitted([{ ...ONE, priority: 1 }, { ...TWO, apiKeys: [], priority: 0 }], '/high/1', 'key-1')).toBe(true)
  })

  it.each([[[ONE], 'key-1'], [undefined, undefined]])('compares the priorities of routes within a team and without teams (%#), guarding against an urgent team whose less urgent routes displace others', (teams, apiKey) => {
    expect([isAdmitted(teams, '/high/1', apiKey), isAdmitted(teams, '/open/1', apiKey)]).toEqual([true, false])
  })
})

describe('quota', () => {
  it('refuses a request over the quota with its retry time, guarding against a request that runs nevertheless', () => {
    const quota = recordingQuota(['two'])
    const steering = startSteering(ENTRIES, { teamQuota: quota }, WITH_TEAMS)
    expect(outcomeOf(send(steering, '/read/1', 'key-2'))).toEqual([429, 'over-quota', 700, 'two'])
    expect(outcomeOf(send(steering, '/read/1', 'key-1'))).toEqual(['dispatch', 'one'])
    expect(quota.calls).toEqual(['acquire two', 'acquire one'])
    expect(steering.pending()).toBe(1)
  })

  it('takes no token for requests without a route, a team or a valid key, guarding against a quota used up by others', () => {
    const quota = recordingQuota()
    const steering = startSteering(ENTRIES, { teamQuota: quota }, WITH_TEAMS)
    for (const [path, key] of [['/nowhere/', 'key-1'], ['/read/1', 'key-3'], ['/read/1', undefined], ['/open/1', undefined]] as const) send(steering, path, key)
    expect(quota.calls).toEqual([])
  })

  it.each(['shed', 'unreachable', 'unsent', 'unsendable'] as const)('gives the token back when all attempts end as %s, guarding against a quota that requests use up which did not run', cause => {
    const quota = recordingQuota()
    const steering = startSteering(ENTRIES, { teamQuota: quota }, WITH_TEAMS)
    let command: SteeringCommand | undefined = send(steering, '/buy/1', 'key-1')
    while (command?.type === 'dispatch') command = steering.handle({ type: 'attempt-refused', attemptId: command.attemptId, cause }).find(({ type }) => type === 'dispatch' || type === 'respond')
    expect(command).toMatchObject({ type: 'respond', team: 'one' })
    expect(quota.calls).toEqual(['acquire one', 'give back one'])
  })

  it('gives the token back when no upstream is usable and when the instance stops, guarding against the same', () => {
    const quota = recordingQuota()
    expect(outcomeOf(send(startSteering([], { teamQuota: quota }, WITH_TEAMS), '/read/1', 'key-1'))).toEqual(expect.arrayContaining([503, 'no-upstream']))
    const stopping = startSteering(ENTRIES, { teamQuota: quota }, WITH_TEAMS)
    stopping.handle({ type: 'stop-begun', guaranteedFrom: 0, endsAt: performance.now() })
    expect(outcomeOf(send(stopping, '/read/1', 'key-1'))).toEqual(expect.arrayContaining([503, 'stopping']))
    expect(quota.calls).toEqual(['acquire one', 'give back one', 'acquire one', 'give back one'])
  })

  it('keeps the token of a request that was answered, may have run or was cancelled, guarding against more runs than the quota allows', () => {
    const quota = recordingQuota()
    const steering = startSteering(ENTRIES, { teamQuota: quota }, WITH_TEAMS)
    const dispatch = (path: string): Dispatch => send(steering, path, 'key-1') as Dispatch
    steering.handle({ type: 'attempt-answered', attemptId: dispatch('/read/1').attemptId, status: 200 })
    steering.handle({ type: 'attempt-answered', attemptId: dispatch('/buy/1').attemptId, status: 503 })
    steering.handle({ type: 'attempt-broken', attemptId: dispatch('/buy/1').attemptId, cause: 'reset' })
    steering.handle({ type: 'attempt-broken', attemptId: dispatch('/buy/1').attemptId, cause: 'garbled' })
    steering.handle({ type: 'request-cancelled', requestId: dispatch('/read/1').requestId })
    // The first attempt may have run, the others provably did not.
    let command: SteeringCommand | undefined = steering.handle({ type: 'attempt-broken', attemptId: dispatch('/read/1').attemptId, cause: 'garbled' })[0]
    while (command?.type === 'dispatch') command = steering.handle({ type: 'attempt-refused', attemptId: command.attemptId, cause: 'shed' }).find(({ type }) => type === 'dispatch' || type === 'respond')
    expect(command).toMatchObject({ type: 'respond', status: 502 })
    dispatch('/buy/1')
    vi.advanceTimersByTime(5_000)
    expect(steering.handle({ type: 'tick' })).toContainEqual(expect.objectContaining({ type: 'respond', status: 504 }))
    expect(quota.calls.filter(call => call.startsWith('give back'))).toEqual([])
  })
})
