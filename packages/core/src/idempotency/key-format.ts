/**
 * Formats, parses and verifies idempotency keys. A key is the URL-safe text
 * `issuer.incarnation.sequence.issuedAt.tag`. Issuer and incarnation are in base64url and the numbers in base 36; the
 * tag is an HMAC-SHA-256 of everything before the last dot.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'

/** The fields of a key. They may be forged until the issuer has checked the key with `verifyTag`. */
export interface ParsedKey {
  readonly issuer: string
  readonly incarnation: string
  readonly sequence: number
  /** Time of issue in whole milliseconds on the issuer's monotonic clock. */
  readonly issuedAt: number
}

/** Longer texts are rejected without parsing. Issued keys have fewer than 300 characters. */
const MAX_KEY_LENGTH = 512
const KEY_FORMAT = /^([\w-]+)\.([\w-]+)\.([0-9a-z]{1,10})\.([0-9a-z]{1,10})\.([\w-]{43})$/
const RADIX = 36

/** Formats a key and signs it with the issuer's secret. */
export function formatKey (key: ParsedKey, secret: Uint8Array): string {
  const signed = [
    Buffer.from(key.issuer).toString('base64url'),
    Buffer.from(key.incarnation).toString('base64url'),
    key.sequence.toString(RADIX),
    key.issuedAt.toString(RADIX)
  ].join('.')
  return `${signed}.${computeTag(signed, secret)}`
}

/** Parses a key without verifying its tag. Returns `undefined` if the text does not have the format of a key. */
export function parseKey (text: string): ParsedKey | undefined {
  if (text.length > MAX_KEY_LENGTH) return undefined
  const [, issuer, incarnation, sequence, issuedAt] = KEY_FORMAT.exec(text) ?? []
  if (issuer === undefined || incarnation === undefined || sequence === undefined || issuedAt === undefined) return undefined
  return {
    issuer: Buffer.from(issuer, 'base64url').toString(),
    incarnation: Buffer.from(incarnation, 'base64url').toString(),
    sequence: Number.parseInt(sequence, RADIX),
    issuedAt: Number.parseInt(issuedAt, RADIX)
  }
}

/**
 * Returns whether the key was signed with this secret. The tag covers the text itself and not the parsed fields, so
 * that another spelling of the same fields is rejected.
 */
export function verifyTag (text: string, secret: Uint8Array): boolean {
  const split = text.lastIndexOf('.')
  const expected = Buffer.from(computeTag(text.slice(0, split), secret))
  const actual = Buffer.from(text.slice(split + 1))
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}

function computeTag (signed: string, secret: Uint8Array): string {
  return createHmac('sha256', secret).update(signed).digest('base64url')
}
