/**
 * Identifiers of instances, zones, services and other objects. They appear in URLs, headers and metric labels and
 * therefore contain none of the separators used there.
 */
import { z } from 'zod'

/** Schema of an identifier. */
export const identifier = z.string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'expected 1 to 63 letters, digits, ".", "_" or "-"')
