/**
 * Identifiers of instances, zones, services and other objects. They appear in URLs, headers and metric labels, so
 * they contain no separators of those.
 */
import { z } from 'zod'

/** Schema of an identifier. */
export const identifier = z.string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'expected 1 to 64 letters, digits, ".", "_" or "-"')
