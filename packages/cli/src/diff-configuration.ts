/**
 * The operations that turn the current configuration into the one that a file states.
 */
import type { Configuration, ConfigurationRows, ConfigurationTable, Operation } from '@arbutustray/core'
import type { ConfigurationFile } from '@arbutustray/settings'
import { rowKey } from '@arbutustray/core'
import { isDeepStrictEqual } from 'node:util'

/** Referenced tables come first, so that each row is put after those that it names. */
const TABLES: readonly ConfigurationTable[] = ['regions', 'zones', 'services', 'places', 'rules', 'links', 'drains']

function indexRows<T extends ConfigurationTable> (table: T, rows: ReadonlyArray<ConfigurationRows[T]>): ReadonlyMap<string, ConfigurationRows[T]> {
  return new Map(rows.map(row => [rowKey(table, row), row]))
}

function differenceOfTable<T extends ConfigurationTable> (
  table: T, current: ReadonlyArray<ConfigurationRows[T]>, wanted: ReadonlyArray<ConfigurationRows[T]>
): { readonly puts: readonly Operation[], readonly removes: readonly Operation[] } {
  const before = indexRows(table, current)
  const after = indexRows(table, wanted)
  const puts = [...after].filter(([key, row]) => !isDeepStrictEqual(before.get(key), row))
  const removes = [...before.keys()].filter(key => !after.has(key))
  return {
    puts: puts.map(([, row]) => ({ table, put: row }) as Operation),
    removes: removes.map(remove => ({ table, remove }) as Operation)
  }
}

/** Rows that differ are put and rows that the file lacks are removed; tables absent from the file stay. */
export function difference (current: Configuration, file: ConfigurationFile): readonly Operation[] {
  const stated = TABLES.flatMap(table => {
    const wanted = file[table]
    return wanted === undefined ? [] : [differenceOfTable<ConfigurationTable>(table, current[table], wanted)]
  })
  const removes = stated.map(({ removes }) => removes).reverse()
  return [...stated.flatMap(({ puts }) => puts), ...removes.flat()]
}
