/**
 * Schema of the operations that operators send. The engine relies on the shape of the rows; what they refer to is
 * checked when the plan is made and named in its blockers.
 */
import { configurationFileSchema } from '@arbutustray/settings'
import { z } from 'zod'

/** Ids of upstreams come from the platform, which may use an address. */
const drain = z.strictObject({
  kind: z.enum(['upstream', 'instance', 'zone']),
  target: z.string().regex(/^[\x21-\x7e]{1,255}$/, 'expected 1 to 255 printable characters'),
  service: z.string().min(1).optional()
})

const put = z.strictObject({ table: z.string(), put: z.looseObject({}) }).superRefine(({ table, put }, context) => {
  const issues = table === 'drains'
    ? drain.safeParse(put).error?.issues ?? []
    // The schema of configuration files checks the rows of one table on their own.
    : (configurationFileSchema.safeParse({ [table]: [put] }).error?.issues ?? []).map(issue => ({ ...issue, path: issue.path.slice(2) }))
  for (const { message, path } of issues) context.addIssue({ code: 'custom', message, path: ['put', ...path] })
})

const remove = z.strictObject({ table: z.string(), remove: z.string() })

/** One operation of a change. Not a union, so that an error names the field and not only the operation. */
export const operation = z.looseObject({ table: z.string() }).superRefine((value, context) => {
  const schema = 'put' in value ? put : remove
  for (const { message, path } of schema.safeParse(value).error?.issues ?? []) {
    context.addIssue({ code: 'custom', message, path: [...path] })
  }
})
