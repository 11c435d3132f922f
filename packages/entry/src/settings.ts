/**
 * Settings of one entry instance, as the settings file gives them.
 */
import type { LogLevel } from '@arbutustray/telemetry'

export interface EntrySettings {
  readonly instanceId: string
  readonly zone: string
  readonly callerAddress: string
  readonly operatorAddress: string
  readonly peerAddress: string
  readonly platformUrl: string
  readonly peerToken: string
  readonly operatorToken: string
  readonly logLevel: LogLevel
  readonly limits: {
    readonly maxHeaderBytes: number
    readonly maxBodyBytes: number
    readonly maxConnections: number
    readonly maxQueuedRequests: number
    readonly headersTimeoutMs: number
    readonly idleTimeoutMs: number
  }
  readonly traces: { readonly sampleShare: number }
}
