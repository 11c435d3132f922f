/**
 * Loads the client blocks from the platform's object store. The index object `client-blocks` holds `{parts: N}`; the
 * objects `client-blocks-0` to `client-blocks-(N-1)` each hold `{blocks: [[cidr, zone, tenant], ...]}` and stay below
 * one megabyte. Only the index is watched, so that one call covers all parts. Writers must therefore replace the parts
 * first and the index last.
 */
import { createBlockTableBuilder } from '@arbutustray/core'
import type { BlockTable } from '@arbutustray/core'
import type { ObjectStore, PlatformError } from '@arbutustray/object-store'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'

/** Name of the index object, and the prefix of the parts' names. */
export const CLIENT_BLOCKS_OBJECT = 'client-blocks'

const Index = z.object({ parts: z.int().min(0).max(10_000) })
const Part = z.object({ blocks: z.array(z.tuple([z.string(), z.string(), z.string()])) })

export interface LoadedClientBlocks {
  readonly table: BlockTable
  readonly size: number
  /** Number of malformed blocks that were left out. */
  readonly skipped: number
}

/** Reads all parts listed by an index. If one part is malformed, returns an error, so that the previous table stays. */
export async function loadClientBlocks (
  store: Pick<ObjectStore, 'get'>, index: unknown
): Promise<Result<LoadedClientBlocks, PlatformError>> {
  const parsed = Index.safeParse(index)
  if (!parsed.success) return malformed(CLIENT_BLOCKS_OBJECT)
  const builder = createBlockTableBuilder()
  let skipped = 0
  for (let partNumber = 0; partNumber < parsed.data.parts; partNumber += 1) {
    const name = `${CLIENT_BLOCKS_OBJECT}-${partNumber}`
    const object = await store.get(name)
    if (object.isErr()) return err(object.error)
    const part = Part.safeParse(object.value.value)
    if (!part.success) return malformed(name)
    for (const [cidr, zone, tenant] of part.data.blocks) if (!builder.add(cidr, { zone, tenant })) skipped += 1
  }
  const table = builder.build()
  return ok({ table, size: table.size, skipped })
}

function malformed (name: string): Result<never, PlatformError> {
  return err({ type: 'malformed', reason: `object ${name} does not hold client blocks` })
}
