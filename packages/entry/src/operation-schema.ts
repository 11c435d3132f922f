/**
 * Schema of the operations in plans and confirmations. It validates the shape of the rows, which the engine relies on.
 * References between rows are checked when the plan is computed, which reports dangling ones as blockers.
 */
import { configurationFileSchema } from '@arbutustray/settings'
import { z } from 'zod'

/** A drain. The target may be the id of an upstream, which comes from the platform and may be an address. */
const drain = z.strictObject({
  kind: z.enum(['upstream', 'instance', 'zone']),
  target: z.string().regex(/^[\x21-\x7e]{1,255}$/, 'expected 1 to 255 printable characters'),
  service: z.string().min(1).optional()
})

const put = z.strictObject({ table: z.string(), put: z.looseObject({}) }).superRefine(({ table, put }, context) => {
  const issues = table === 'drains'
    ? drain.safeParse(put).error?.issues ?? []
    // The schema of configuration files also accepts a file with a single table.
    : (configurationFileSchema.safeParse({ [table]: [put] }).error?.issues ?? []).map(issue => ({ ...issue, path: issue.path.slice(2) }))
  for (const { message, path } of issues) context.addIssue({ code: 'custom', message, path: ['put', ...path] })
})

const remove = z.strictObject({ table: z.string(), remove: z.string() })

/** One operation of a change. It is not a union, so that errors contain the path of the invalid field. */
export const operation = z.looseObject({ table: z.string() }).superRefine((value, context) => {
  const schema = 'put' in value ? put : remove
  for (const { message, path } of schema.safeParse(value).error?.issues ?? []) {
    context.addIssue({ code: 'custom', message, path: [...path] })
  }
})
