/**
 * Client of the operator ports, for the demo and the failure tests: plans, confirmations and status.
 */
import type { Operation, Plan } from '@arbutustray/core'
import type { EntryInstance } from './topology.js'
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'

/** Sends a request to an operator port and returns the JSON body; throws if the status of the response is not 200. */
export type OperatorCall = (instance: EntryInstance, path: string, body?: unknown) => Promise<any>

const POLL_PERIOD_MS = 25

/** Creates a function that calls operator ports with a bearer token. */
export function createOperatorCall (token: string): OperatorCall {
  return async (instance, path, body) => {
    const response = await request(`http://${instance.operator}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body)
    })
    const text = await response.body.text()
    if (response.statusCode !== 200) throw new Error(`${path} at ${instance.id}: ${response.statusCode} ${text}`)
    return JSON.parse(text)
  }
}

/** Polls a check until it returns true, where an exception counts as false. Returns the elapsed time in milliseconds. */
export async function waitUntil (condition: string, limitMs: number, check: () => Promise<boolean>): Promise<number> {
  const startedAt = performance.now()
  let lastError = ''
  for (;;) {
    const isMet = await check().catch(error => {
      lastError = String(error)
      return false
    })
    const ms = performance.now() - startedAt
    if (isMet) return ms
    if (ms > limitMs) throw new Error(`${condition}: not within ${limitMs} ms ${lastError}`)
    await sleep(POLL_PERIOD_MS)
  }
}

/** Makes a plan and confirms it. Returns the plan and the new configuration version. */
export async function planAndConfirm (
  call: OperatorCall, instance: EntryInstance, operations: readonly Operation[], reason: string
): Promise<{ readonly plan: Plan, readonly version: number }> {
  const plan: Plan = await call(instance, '/v1/plans', { operations })
  if (plan.blockers.length > 0) throw new Error(`plan is blocked: ${plan.blockers.join('; ')}`)
  const { planId, baseVersion } = plan
  const record = { changeId: randomUUID(), actor: 'demo', reason }
  const { version } = await call(instance, '/v1/confirmations', { planId, baseVersion, operations: plan.operations, ...record })
  return { plan, version }
}
