/**
 * Settings of one entry instance. They hold what a process must know before it can ask anyone: its own identity
 * and addresses, the platform's address and the shared secrets. Everything else is configuration.
 */
import { z } from 'zod'
import { identifier } from './identifier.js'

const KIB = 1024
const MIB = 1024 * KIB

/** `host:port`, with an IPv6 host in brackets. Port 0 lets the system choose. */
const hostAndPort = z.string().regex(/^(\[[0-9a-fA-F:.]+\]|[^\s:/[\]]+):\d{1,5}$/, 'expected host:port')
  .refine(text => Number(text.slice(text.lastIndexOf(':') + 1)) <= 65_535, 'expected a port of at most 65535')

const positive = z.int().positive()

const limits = z.strictObject({
  maxHeaderBytes: positive.default(16 * KIB),
  maxBodyBytes: positive.default(64 * MIB),
  maxConnections: positive.default(4_000),
  maxQueuedRequests: positive.default(2_000),
  /** Time for a client to send its complete request headers. */
  headersTimeoutMs: positive.default(10_000),
  /** Time after which a connection without a request is closed. */
  idleTimeoutMs: positive.default(60_000)
}).readonly()

const traces = z.strictObject({
  /** Share of requests that are traced, 0 to 1. */
  sampleShare: z.number().min(0).max(1).default(0)
}).readonly()

/** Schema of the settings file of `arbutustray-entry`. */
export const entrySettings = z.strictObject({
  instanceId: identifier,
  zone: identifier,
  callerAddress: hostAndPort,
  operatorAddress: hostAndPort,
  peerAddress: hostAndPort,
  /** Address of the peer port as other instances reach it, where it differs from the one listened on. */
  advertisedPeerAddress: hostAndPort.optional(),
  platformUrl: z.url({ protocol: /^https?$/, error: 'expected an http or https URL' }),
  /** Shared by all entry instances. */
  peerToken: z.string().min(1),
  operatorToken: z.string().min(1),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
  limits: limits.prefault({}),
  traces: traces.prefault({})
}).readonly()

/** Settings of one entry instance, with defaults filled in. */
export type EntrySettings = z.output<typeof entrySettings>
