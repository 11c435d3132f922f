/**
 * Schema of the settings file of an entry instance. It holds what the process needs before it can reach the platform
 * or another instance: its own identity and addresses, the platform's address and the shared secrets. Everything else
 * is part of the configuration.
 */
import { z } from 'zod'
import { identifier } from './identifier.js'

const KIB = 1024
const MIB = 1024 * KIB

/** `host:port`, with an IPv6 host in brackets. Port 0 lets the operating system choose a free port. */
const hostAndPort = z.string().regex(/^(\[[0-9a-fA-F:.]+\]|[^\s:/[\]]+):\d{1,5}$/, 'expected host:port')
  .refine(text => Number(text.slice(text.lastIndexOf(':') + 1)) <= 65_535, 'expected a port of at most 65535')

const positive = z.int().positive()

const limits = z.strictObject({
  maxHeaderBytes: positive.default(16 * KIB),
  maxBodyBytes: positive.default(64 * MIB),
  maxConnections: positive.default(4_000),
  maxQueuedRequests: positive.default(2_000),
  /** Time within which a client must send its complete request headers. */
  headersTimeoutMs: positive.default(10_000),
  /** Time after which a connection without a request is closed. */
  idleTimeoutMs: positive.default(60_000)
}).readonly()

const traces = z.strictObject({
  /** Share of new traces that are recorded, 0 to 1. For a trace that a caller started, its sampled flag decides. */
  sampleShare: z.number().min(0).max(1).default(0)
}).readonly()

/** Schema of the settings file of `arbutustray-entry`. */
export const entrySettingsSchema = z.strictObject({
  instanceId: identifier,
  zone: identifier,
  callerAddress: hostAndPort,
  operatorAddress: hostAndPort,
  peerAddress: hostAndPort,
  /** Address at which other instances reach the peer port, if it differs from the address to listen on. */
  advertisedPeerAddress: hostAndPort.optional(),
  platformUrl: z.url({ protocol: /^https?$/, error: 'expected an http or https URL' }),
  /** Secret that authenticates calls between entry instances; the same for all of them. */
  peerToken: z.string().min(1),
  operatorToken: z.string().min(1),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
  limits: limits.prefault({}),
  traces: traces.prefault({})
}).readonly()

/** Settings of an entry instance, with defaults filled in. */
export type EntrySettings = z.output<typeof entrySettingsSchema>
