/**
 * Computes the operations that turn the current configuration into the one that a file describes.
 */
import type { Configuration, ConfigurationRows, ConfigurationTable, Operation } from '@arbutustray/core'
import type { ConfigurationFile } from '@arbutustray/settings'
import { rowKey } from '@arbutustray/core'
import { isDeepStrictEqual } from 'node:util'

/** Referenced tables come first, so that a row is put after the rows that it refers to. Removals run in reverse order. */
const TABLES_IN_PUT_ORDER: readonly ConfigurationTable[] = ['regions', 'zones', 'services', 'places', 'rules', 'links', 'drains']

function indexRows<T extends ConfigurationTable> (table: T, rows: ReadonlyArray<ConfigurationRows[T]>): ReadonlyMap<string, ConfigurationRows[T]> {
  return new Map(rows.map(row => [rowKey(table, row), row]))
}

function diffTable<T extends ConfigurationTable> (
  table: T, current: ReadonlyArray<ConfigurationRows[T]>, desired: ReadonlyArray<ConfigurationRows[T]>
): { readonly puts: readonly Operation[], readonly removes: readonly Operation[] } {
  const currentRows = indexRows(table, current)
  const desiredRows = indexRows(table, desired)
  const puts = [...desiredRows].filter(([key, row]) => !isDeepStrictEqual(currentRows.get(key), row))
  const removes = [...currentRows.keys()].filter(key => !desiredRows.has(key))
  return {
    puts: puts.map(([, row]) => ({ table, put: row }) as Operation),
    removes: removes.map(remove => ({ table, remove }) as Operation)
  }
}

/** Puts rows that are new or differ and removes rows that the file lacks. Tables absent from the file are left unchanged. */
export function diffConfiguration (current: Configuration, file: ConfigurationFile): readonly Operation[] {
  const tableDiffs = TABLES_IN_PUT_ORDER.flatMap(table => {
    const desired = file[table]
    return desired === undefined ? [] : [diffTable<ConfigurationTable>(table, current[table], desired)]
  })
  const removes = tableDiffs.map(({ removes }) => removes).reverse()
  return [...tableDiffs.flatMap(({ puts }) => puts), ...removes.flat()]
}
