/**
 * Checks a deployment before it is sent: errors, entries that no request can use and limits that contradict each other.
 *
 * An error makes requests fail or leaves a part of the deployment without effect in a way that can't be intended. What
 * an instance accepts and handles as stated is at most a warning. API keys are never part of a problem.
 */
import type { Deployment, Route, Service, Team } from './deployment.js'
import { IS_IDEMPOTENT } from './deployment.js'
import { createTeamIndex, homeRegionsOf } from './team-index.js'

export type Severity = 'error' | 'warning'

export interface DeploymentProblem {
  readonly severity: Severity
  /** Kind and name of the entry, such as `route "read"`. */
  readonly entry: string
  readonly text: string
}

export interface DeploymentCheckOptions {
  /** Version in force, if known. */
  readonly currentVersion?: number
  /** Names of all regions, if known. */
  readonly regions?: readonly string[]
}

/** A condition on one entry, and the problem if it holds. */
type Rule<T> = readonly [severity: Severity, isViolated: (entry: T) => boolean, text: string]

/** The engine looks up prefixes that begin and end with a slash, of a path without a query. */
const MATCHABLE_PREFIX = /^\/([^\s?#]*\/)?$/
/** A name or an IP address. The engine looks up the host without its port. */
const MATCHABLE_HOST = /^([a-z0-9_]([a-z0-9_.-]*[a-z0-9_.])?|\[[0-9a-f:.]+\])$/i

const ROUTE_RULES: ReadonlyArray<Rule<Route>> = [
  ['error', ({ parts }) => parts.reduce((sum, { weight }) => sum + weight, 0) <= 0, 'the weights of its services sum to 0'],
  ['warning', ({ prefix }) => !MATCHABLE_PREFIX.test(prefix), 'matches no request: the prefix must begin and end with a slash, without blanks, "?" and "#"'],
  ['warning', ({ host }) => !MATCHABLE_HOST.test(host), 'matches no usual request: the host must be a name or an address without a port'],
  ['warning', ({ objectiveMs, timeoutMs }) => objectiveMs > timeoutMs, 'the target latency exceeds the timeout'],
  ['warning', ({ attempts }) => attempts < 1, 'allows less than 1 attempt'],
  ['warning', ({ attempts, kind }) => attempts > 1 && !IS_IDEMPOTENT[kind], 'more than 1 attempt has no effect: requests of this kind must not run twice']
]

const TEAM_RULES: ReadonlyArray<Rule<Team>> = [
  ['warning', ({ quota }) => quota !== undefined && quota.burst < 1, 'the burst of the quota is below 1 request']
]

const SERVICE_RULES: ReadonlyArray<Rule<Service>> = [
  ['warning', ({ coldRate }) => coldRate <= 0, 'the rate of a cold upstream is 0']
]

const DEPLOYMENT_RULES: ReadonlyArray<Rule<Deployment>> = [
  ['warning', ({ limits }) => limits.bodyBytes < limits.headerBytes, 'the body limit is below the header limit'],
  ['warning', ({ limits }) => limits.idleTimeoutMs <= 0, 'the idle timeout is 0']
]

function quote (name: string): string {
  return JSON.stringify(name)
}

function applyRules<T> (rules: ReadonlyArray<Rule<T>>, entry: string, value: T): readonly DeploymentProblem[] {
  return rules.filter(([, isViolated]) => isViolated(value)).map(([severity, , text]) => ({ severity, entry, text }))
}

/** Pairs each entry that has the key of an earlier one with that entry. */
function findRepeated<T> (entries: readonly T[], keyOf: (entry: T) => string): ReadonlyArray<readonly [entry: T, earlier: T]> {
  const earlierByKey = new Map<string, T>()
  return entries.flatMap(entry => {
    const earlier = earlierByKey.get(keyOf(entry))
    if (earlier !== undefined) return [[entry, earlier] as const]
    earlierByKey.set(keyOf(entry), entry)
    return []
  })
}

/** Keys that a request can send. The empty key stands for malformed credentials. */
function usableKeys ({ apiKeys }: Team): ReadonlySet<string> {
  return new Set(apiKeys.filter(apiKey => apiKey !== ''))
}

function checkRegions (entry: string, homeRegions: readonly string[], regions: readonly string[] | undefined): readonly DeploymentProblem[] {
  return homeRegions.filter(region => regions?.includes(region) === false)
    .map(region => ({ severity: 'warning', entry, text: `home region ${quote(region)} is not among the regions` }))
}

function checkRoutes ({ routes, services }: Deployment, regions: readonly string[] | undefined): readonly DeploymentProblem[] {
  const serviceNames = new Set(services.map(({ name }) => name))
  const repeated = findRepeated(routes, ({ host, prefix }) => JSON.stringify([host.toLowerCase(), prefix]))
  return [
    ...repeated.map(([{ name }, earlier]): DeploymentProblem => (
      { severity: 'error', entry: `route ${quote(name)}`, text: `hidden by route ${quote(earlier.name)} with the same host and prefix` }
    )),
    ...routes.flatMap(route => {
      const entry = `route ${quote(route.name)}`
      const missing = route.parts.filter(({ service }) => !serviceNames.has(service))
      return [
        ...missing.map(({ service }): DeploymentProblem => ({ severity: 'error', entry, text: `service ${quote(service)} is not in the configuration` })),
        ...applyRules(ROUTE_RULES, entry, route),
        ...checkRegions(entry, route.homeRegions, regions)
      ]
    })
  ]
}

function checkServices ({ routes, services }: Deployment): readonly DeploymentProblem[] {
  const used = new Set(routes.flatMap(({ parts }) => parts.map(({ service }) => service)))
  return [
    ...findRepeated(services, ({ name }) => name).map(([{ name }]): DeploymentProblem => (
      { severity: 'warning', entry: `service ${quote(name)}`, text: 'is listed more than once; the last entry is used' }
    )),
    ...services.flatMap(service => {
      const entry = `service ${quote(service.name)}`
      const unused: readonly DeploymentProblem[] = used.has(service.name) ? [] : [{ severity: 'warning', entry, text: 'no route uses it' }]
      return [...unused, ...applyRules(SERVICE_RULES, entry, service)]
    })
  ]
}

function checkTeams ({ routes, teams = [] }: Deployment, regions: readonly string[] | undefined): readonly DeploymentProblem[] {
  // A list of teams without any keys makes instances refuse requests with a key and those to routes that aren't anonymous.
  const isForAnonymous = teams.every(team => usableKeys(team).size === 0) && routes.some(({ allowsAnonymous }) => allowsAnonymous)
  const sharedKeys = createTeamIndex(teams).conflicts.map(({ team, earlierTeam, keys }): DeploymentProblem => (
    { severity: 'error', entry: `team ${quote(team)}`, text: `${keys} of its keys belong to team ${quote(earlierTeam)}` }
  ))
  return [
    ...findRepeated(teams, ({ name }) => name).map(([{ name }]): DeploymentProblem => (
      { severity: 'error', entry: `team ${quote(name)}`, text: 'another team has the same name' }
    )),
    ...sharedKeys,
    ...teams.flatMap(team => {
      const entry = `team ${quote(team.name)}`
      const hasKeys = usableKeys(team).size > 0
      const unreachable = hasKeys ? routes.filter(route => homeRegionsOf(route, team) === undefined) : []
      const keyless: readonly DeploymentProblem[] = hasKeys || isForAnonymous ? [] : [{ severity: 'warning', entry, text: 'no request can belong to it: it has no key' }]
      return [
        ...keyless,
        ...unreachable.map(({ name }): DeploymentProblem => ({ severity: 'warning', entry, text: `has no home region in common with route ${quote(name)}` })),
        ...applyRules(TEAM_RULES, entry, team),
        ...checkRegions(entry, team.homeRegions, regions)
      ]
    })
  ]
}

export function checkDeployment (deployment: Deployment, { currentVersion, regions }: DeploymentCheckOptions = {}): readonly DeploymentProblem[] {
  const isOutdated = currentVersion !== undefined && deployment.version <= currentVersion
  const outdated: readonly DeploymentProblem[] = isOutdated
    ? [{ severity: 'error', entry: 'version', text: `${deployment.version} is not above the version in force, ${currentVersion}` }]
    : []
  return [
    ...outdated,
    ...checkRoutes(deployment, regions),
    ...checkServices(deployment),
    ...checkTeams(deployment, regions),
    ...applyRules(DEPLOYMENT_RULES, 'limits', deployment)
  ]
}
