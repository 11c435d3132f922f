/**
 * Maps client addresses to their zone and tenant by longest-prefix match over CIDR blocks. The builder flattens nested
 * blocks into sorted, disjoint ranges in typed arrays, so that a lookup is a single binary search. A range consists of
 * its first address and an index into the origins, and ends where the next one starts. It takes 8 bytes for IPv4 and
 * 12 for IPv6. Gaps between blocks are ranges with origin index 0.
 */
import { MAX_PREFIX_LENGTH, parseAddress, parseBlock } from './address.js'

/** The zone and tenant of the clients in a block. */
export interface ClientOrigin {
  readonly zone: string
  readonly tenant: string
}

/** An immutable table from client addresses to origins. */
export interface BlockTable {
  /**
   * Returns the origin of the block with the longest prefix that contains the address, or `undefined` if no block does
   * or the text is not an address.
   */
  readonly findOrigin: (address: string) => ClientOrigin | undefined
  /** Number of blocks that were added. */
  readonly size: number
  /** Number of disjoint ranges that the blocks were flattened into. */
  readonly ranges: number
  /** Size of the typed arrays in bytes. */
  readonly bytes: number
}

/** Collects blocks one by one in packed form, so that the platform's objects need not all be in memory as text. */
export interface BlockTableBuilder {
  /**
   * Adds a block. Returns false and adds nothing if the block is malformed or `MAX_ORIGINS` is exceeded. If a block is
   * added twice, the origin that was first added to the builder wins.
   */
  readonly add: (cidr: string, origin: ClientOrigin) => boolean
  readonly build: () => BlockTable
}

/**
 * An IPv4 block is packed into the 53 integer bits of a number: 32 for the address, 6 for the prefix length and 15 for
 * the origin index. A `Float64Array` of them has a fast native sort; with `bigint` values it took 5 s to build a table
 * of 860,000 blocks.
 */
const ORIGIN_INDEX_RANGE = 2 ** 15
const PREFIX_LENGTH_RANGE = 2 ** 6
/** Distinct pairs of zone and tenant. Index 0 is reserved for addresses outside all blocks. */
const MAX_ORIGINS = ORIGIN_INDEX_RANGE - 1
const INITIAL_BLOCKS = 1_024

type Starts = Uint32Array | BigUint64Array

interface Ranges {
  readonly starts: Starts
  readonly originIndexes: Uint32Array
}

interface RangeBuilder<A> {
  readonly addressSpaceEnd: A
  readonly startRange: (start: A, originIndex: number) => void
  readonly build: () => Ranges
}

interface IndexedBlock<A> {
  readonly start: A
  readonly prefixLength: number
  readonly originIndex: number
}

/** Creates an empty builder. */
export function createBlockTableBuilder (): BlockTableBuilder {
  const origins: ClientOrigin[] = [{ zone: '', tenant: '' }]
  const indexesByZone = new Map<string, Map<string, number>>()
  let packedIpv4 = new Float64Array(INITIAL_BLOCKS)
  let ipv4Count = 0
  const ipv6Blocks: Array<IndexedBlock<bigint>> = []

  function originIndexOf (origin: ClientOrigin): number {
    const tenants = indexesByZone.get(origin.zone) ?? new Map<string, number>()
    const existing = tenants.get(origin.tenant)
    if (existing !== undefined) return existing
    const originIndex = origins.push({ zone: origin.zone, tenant: origin.tenant }) - 1
    indexesByZone.set(origin.zone, tenants.set(origin.tenant, originIndex))
    return originIndex
  }

  function add (cidr: string, origin: ClientOrigin): boolean {
    const block = parseBlock(cidr)
    if (block === undefined || origins.length > MAX_ORIGINS) return false
    const originIndex = originIndexOf(origin)
    if (block.family === 6) ipv6Blocks.push({ start: block.value, prefixLength: block.prefixLength, originIndex })
    else addIpv4((block.value * PREFIX_LENGTH_RANGE + block.prefixLength) * ORIGIN_INDEX_RANGE + originIndex)
    return true
  }

  function addIpv4 (packed: number): void {
    if (ipv4Count === packedIpv4.length) {
      const grown = new Float64Array(ipv4Count * 2)
      grown.set(packedIpv4)
      packedIpv4 = grown
    }
    packedIpv4[ipv4Count] = packed
    ipv4Count += 1
  }

  function build (): BlockTable {
    const ipv4Ranges = flattenBlocks(unpackIpv4(packedIpv4.slice(0, ipv4Count).sort()), createRangeBuilder(new Uint32Array(ipv4Count * 2), 2 ** 32), endOfIpv4Block)
    const sortedIpv6 = ipv6Blocks.sort((a, b) => (a.start === b.start ? a.prefixLength - b.prefixLength || a.originIndex - b.originIndex : a.start < b.start ? -1 : 1))
    const ipv6Ranges = flattenBlocks(sortedIpv6, createRangeBuilder(new BigUint64Array(sortedIpv6.length * 2), 1n << 64n), endOfIpv6Block)
    return createTable(ipv4Ranges, ipv6Ranges, origins, ipv4Count + ipv6Blocks.length)
  }

  return { add, build }
}

/** Separate from the builder, so that the table's closures don't keep the builder's arrays in memory. */
function createTable (
  ipv4Ranges: Ranges, ipv6Ranges: Ranges, origins: readonly ClientOrigin[], size: number
): BlockTable {
  return {
    findOrigin: text => {
      const address = parseAddress(text)
      if (address === undefined) return undefined
      const originIndex = findOriginIndex(address.family === 4 ? ipv4Ranges : ipv6Ranges, address.value)
      return originIndex === 0 ? undefined : origins[originIndex]
    },
    size,
    ranges: ipv4Ranges.originIndexes.length + ipv6Ranges.originIndexes.length,
    bytes: [ipv4Ranges, ipv6Ranges].reduce((sum, { starts, originIndexes }) => sum + starts.byteLength + originIndexes.byteLength, 0)
  }
}

function * unpackIpv4 (sorted: Float64Array): Generator<IndexedBlock<number>> {
  for (const packed of sorted) {
    const key = Math.floor(packed / ORIGIN_INDEX_RANGE)
    yield { start: Math.floor(key / PREFIX_LENGTH_RANGE), prefixLength: key % PREFIX_LENGTH_RANGE, originIndex: packed % ORIGIN_INDEX_RANGE }
  }
}

function endOfIpv4Block ({ start, prefixLength }: IndexedBlock<number>): number {
  return start + 2 ** (MAX_PREFIX_LENGTH[4] - prefixLength)
}

function endOfIpv6Block ({ start, prefixLength }: IndexedBlock<bigint>): bigint {
  return start + (1n << BigInt(MAX_PREFIX_LENGTH[6] - prefixLength))
}

/**
 * Collects ranges in ascending order of their first address and merges neighbors of one origin. `starts` needs room for
 * two ranges per block, because each block starts one range and at most one more starts at its end.
 */
function createRangeBuilder<A extends number | bigint> (starts: Starts, addressSpaceEnd: A): RangeBuilder<A> {
  const originIndexes = new Uint32Array(starts.length)
  let size = 0
  let last: A | undefined
  return {
    addressSpaceEnd,
    startRange: (start, originIndex) => {
      // A block that reaches the end of the address space has no range after it.
      if (start === addressSpaceEnd) return
      if (last === start) size -= 1
      last = start
      if ((size === 0 ? 0 : originIndexes[size - 1]) === originIndex) {
        last = undefined
        return
      }
      starts[size] = start
      originIndexes[size] = originIndex
      size += 1
    },
    build: () => ({ starts: starts.slice(0, size), originIndexes: originIndexes.slice(0, size) })
  }
}

/** Turns sorted, possibly nested blocks into ranges. Keeps a stack of the blocks that contain the current address. */
function flattenBlocks<A extends number | bigint> (
  sorted: Iterable<IndexedBlock<A>>, rangeBuilder: RangeBuilder<A>, endOf: (block: IndexedBlock<A>) => A
): Ranges {
  const enclosing: Array<{ readonly end: A, readonly originIndex: number }> = []
  function closeBlocksUpTo (address: A): void {
    for (let top = enclosing.at(-1); top !== undefined && top.end <= address; top = enclosing.at(-1)) {
      enclosing.pop()
      rangeBuilder.startRange(top.end, enclosing.at(-1)?.originIndex ?? 0)
    }
  }
  let previous: IndexedBlock<A> | undefined
  for (const block of sorted) {
    if (previous?.start === block.start && previous.prefixLength === block.prefixLength) continue
    previous = block
    closeBlocksUpTo(block.start)
    enclosing.push({ end: endOf(block), originIndex: block.originIndex })
    rangeBuilder.startRange(block.start, block.originIndex)
  }
  closeBlocksUpTo(rangeBuilder.addressSpaceEnd)
  return rangeBuilder.build()
}

/** Returns the origin index of the last range that starts at or below the value. */
function findOriginIndex ({ starts, originIndexes }: Ranges, value: number | bigint): number {
  let low = 0
  let high = starts.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if ((starts[middle] ?? 0) <= value) low = middle + 1
    else high = middle
  }
  return originIndexes[low - 1] ?? 0
}
