/**
 * The text of an idempotency key: `issuer.incarnation.sequence.issuedAt.tag`, URL-safe. Issuer and incarnation are
 * base64url, the numbers are base 36, and the tag is an HMAC-SHA-256 over all that precedes it.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'

/** What a key says about itself. Trustworthy only after `hasValidTag` on the issuer. */
export interface ParsedKey {
  readonly issuer: string
  readonly incarnation: string
  readonly sequence: number
  /** Issue time in whole milliseconds on the issuer's monotonic clock. */
  readonly issuedAt: number
}

/** Longer texts are not parsed. Keys of this system have fewer than 300 characters. */
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

/** Reads a key without checking its tag. Returns `undefined` for a text that is no key. */
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

/** Whether the text was signed with this secret. The check covers the raw text, so no second spelling passes. */
export function verifyTag (text: string, secret: Uint8Array): boolean {
  const split = text.lastIndexOf('.')
  const expected = Buffer.from(computeTag(text.slice(0, split), secret))
  const actual = Buffer.from(text.slice(split + 1))
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}

function computeTag (signed: string, secret: Uint8Array): string {
  return createHmac('sha256', secret).update(signed).digest('base64url')
}
