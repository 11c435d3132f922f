/**
 * The catalogue of metrics, with Prometheus naming. Labels only take values from the configuration or from fixed
 * tables, so that callers can't create time series.
 */

/** One metric. */
export interface Metric {
  readonly type: 'counter' | 'gauge' | 'histogram'
  readonly help: string
  readonly labels: readonly string[]
  /** Upper bounds of the buckets, in the metric's unit; only for histograms. */
  readonly buckets?: readonly number[]
}

const LATENCY_BUCKETS_SECONDS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 120, 600] as const

/** Metrics by name. */
export const METRICS = {
  arbutustray_requests_total: {
    type: 'counter',
    help: 'Requests by service, outcome and reason; the service is `unknown` when it is not configured.',
    labels: ['service', 'outcome', 'reason']
  },
  arbutustray_request_duration_seconds: {
    type: 'histogram',
    help: 'Time from the arrival of a request to the end of its answer, in seconds.',
    labels: ['service', 'kind'],
    buckets: LATENCY_BUCKETS_SECONDS
  },
  arbutustray_attempts_total: {
    type: 'counter',
    help: 'Attempts by kind of target (`upstream` or `instance`) and end (`finished`, `refused`, `failed`, `cancelled`).',
    labels: ['target', 'end']
  },
  arbutustray_dropped_answers_total: {
    type: 'counter',
    help: 'Answers that named another request and were dropped.',
    labels: ['target']
  },
  arbutustray_rejected_requests_total: {
    type: 'counter',
    help: 'Malformed and oversized requests by status.',
    labels: ['status']
  },
  arbutustray_answers_total: {
    type: 'counter',
    help: 'Answers to callers by route, status and source (`upstream`, or the reason for which the instance itself answered).',
    labels: ['route', 'status', 'source']
  },
  arbutustray_team_requests_total: {
    type: 'counter',
    help: 'Requests of teams by team and outcome (`admitted`, `over-quota`, `refused`); teams after the first 100 are counted as `other`.',
    labels: ['team', 'outcome']
  },
  arbutustray_answer_duration_seconds: {
    type: 'histogram',
    help: 'Time from the receipt of the head of a request to its answer, in seconds.',
    labels: ['route'],
    buckets: LATENCY_BUCKETS_SECONDS
  },
  arbutustray_placements_total: {
    type: 'counter',
    help: 'Attempts by route, kind of placement (`ranked`: by the ranking of the object, or any upstream without one, `divided`: one of several upstreams of a popular object, `spread`: the route has no affinity) and region (`first`: that of the preferred upstream, `other`).',
    labels: ['route', 'kind', 'region']
  },
  arbutustray_accept_wait_seconds: {
    type: 'histogram',
    help: 'Longest time that a connection of a caller can have waited to be accepted, at the time of each accepted one, in seconds.',
    labels: [],
    buckets: LATENCY_BUCKETS_SECONDS
  },
  arbutustray_intake_wait_seconds: {
    type: 'histogram',
    help: 'Time from the end of reading a request to its handling or refusal, in seconds.',
    labels: [],
    buckets: LATENCY_BUCKETS_SECONDS
  },
  arbutustray_dropped_caller_connections_total: {
    type: 'counter', help: 'Connections of callers that were closed unread because callers held as many as they may.', labels: []
  },
  arbutustray_slow_callers_closed_total: {
    type: 'counter', help: 'Connections of callers that were closed because they read too slowly while answers filled the memory.', labels: []
  },
  arbutustray_open_caller_connections: { type: 'gauge', help: 'Open connections of callers.', labels: [] },
  arbutustray_store_calls_total: {
    type: 'counter',
    help: 'Calls to the store by kind of object, call and result.',
    labels: ['kind', 'call', 'result']
  },
  arbutustray_beliefs_total: {
    type: 'counter',
    help: 'Changes of upstreams, configuration and zone evacuations that the instance registered, by subject.',
    labels: ['subject']
  },
  arbutustray_team_quota_share: { type: 'gauge', help: 'Share of the quota of a team that this instance holds, for teams with leases.', labels: ['team'] },
  arbutustray_quota_leases_total: {
    type: 'counter',
    help: 'Leases of shares of quotas between instances by direction (`lent` or `borrowed`).',
    labels: ['direction']
  },
  arbutustray_queue_length: { type: 'gauge', help: 'Requests that wait for a slot, by service.', labels: ['service'] },
  arbutustray_outstanding_attempts: { type: 'gauge', help: 'Attempts that have not ended, by service.', labels: ['service'] },
  arbutustray_configuration_version: { type: 'gauge', help: 'Version of the configuration in force; 0 without one.', labels: [] },
  arbutustray_peers: { type: 'gauge', help: 'Other entry instances by state.', labels: ['state'] },
  arbutustray_platform_calls_total: {
    type: 'counter',
    help: 'Calls to the platform by call and result (`ok` or `error`).',
    labels: ['call', 'result']
  },
  arbutustray_event_loop_delay_seconds: {
    type: 'gauge',
    help: 'Delay of the event loop since the last scrape, in seconds.',
    labels: ['quantile']
  }
} as const satisfies Readonly<Record<string, Metric>>

export type MetricName = keyof typeof METRICS

/** Names of the metrics of one type. */
export type MetricNameOf<T extends Metric['type']> = {
  [N in MetricName]: (typeof METRICS)[N]['type'] extends T ? N : never
}[MetricName]

/** Values of a metric's labels. All are required. */
export type Labels<N extends MetricName> = { readonly [L in (typeof METRICS)[N]['labels'][number]]: string }
