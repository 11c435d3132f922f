/**
 * Client blocks as sorted ranges in typed arrays. Nested blocks are resolved when the table is built, so a search finds
 * the longest prefix with one binary search. A range is its first address and its owner and reaches to the next
 * range: 8 bytes for IPv4, 12 for IPv6. Ranges without an owner fill the gaps.
 */
import { MAX_PREFIX, parseAddress, parseBlock } from './address.js'

/** What a client block says about its clients. */
export interface Origin {
  readonly zone: string
  readonly tenant: string
}

/** Finds the origin of a client. */
export interface BlockTable {
  /** Origin of the longest block that contains the address; `undefined` if none does or the text is no address. */
  readonly find: (address: string) => Origin | undefined
  /** Blocks in the table. */
  readonly size: number
  readonly ranges: number
  /** Bytes of the typed arrays. */
  readonly bytes: number
}

/** Collects blocks, one object of the platform after the other, without holding all their texts. */
export interface BlockTableBuilder {
  /**
   * Returns false, and adds nothing, if the block is malformed or has one origin too many. Of two equal blocks the one
   * whose origin was added first counts.
   */
  readonly add: (cidr: string, origin: Origin) => boolean
  readonly build: () => BlockTable
}

/**
 * An IPv4 block is packed into the 53 bits that a number holds exactly: 32 for the address, 6 for the prefix length, 15
 * for the owner. Numbers sort natively; with `bigint` the build of 860,000 blocks took 5 s.
 */
const OWNER_RANGE = 2 ** 15
const PREFIX_RANGE = 2 ** 6
/** Distinct pairs of zone and tenant. Owner 0 stands for none. */
const MAX_OWNERS = OWNER_RANGE - 1
const INITIAL_BLOCKS = 1_024

type Starts = Uint32Array | BigUint64Array

interface Ranges {
  readonly starts: Starts
  readonly owners: Uint32Array
}

interface RangeList<A> {
  readonly limit: A
  readonly begin: (start: A, owner: number) => void
  readonly end: () => Ranges
}

interface OwnedBlock<A> {
  readonly start: A
  readonly prefix: number
  readonly owner: number
}

/** Creates an empty builder. */
export function createBlockTableBuilder (): BlockTableBuilder {
  const origins: Origin[] = [{ zone: '', tenant: '' }]
  const owners = new Map<string, Map<string, number>>()
  let packed4 = new Float64Array(INITIAL_BLOCKS)
  let size4 = 0
  const blocks6: Array<OwnedBlock<bigint>> = []

  function ownerOf (origin: Origin): number {
    const tenants = owners.get(origin.zone) ?? new Map<string, number>()
    const known = tenants.get(origin.tenant)
    if (known !== undefined) return known
    const owner = origins.push({ zone: origin.zone, tenant: origin.tenant }) - 1
    owners.set(origin.zone, tenants.set(origin.tenant, owner))
    return owner
  }

  function add (cidr: string, origin: Origin): boolean {
    const block = parseBlock(cidr)
    if (block === undefined || origins.length > MAX_OWNERS) return false
    const owner = ownerOf(origin)
    if (block.family === 6) blocks6.push({ start: block.value, prefix: block.prefix, owner })
    else add4((block.value * PREFIX_RANGE + block.prefix) * OWNER_RANGE + owner)
    return true
  }

  function add4 (packed: number): void {
    if (size4 === packed4.length) {
      const grown = new Float64Array(size4 * 2)
      grown.set(packed4)
      packed4 = grown
    }
    packed4[size4] = packed
    size4 += 1
  }

  function build (): BlockTable {
    const ranges4 = flatten(unpack(packed4.slice(0, size4).sort()), createRanges(new Uint32Array(size4 * 2), 2 ** 32), endOf4)
    const sorted6 = blocks6.sort((a, b) => (a.start === b.start ? a.prefix - b.prefix || a.owner - b.owner : a.start < b.start ? -1 : 1))
    const ranges6 = flatten(sorted6, createRanges(new BigUint64Array(sorted6.length * 2), 1n << 64n), endOf6)
    return createTable(ranges4, ranges6, origins, size4 + blocks6.length)
  }

  return { add, build }
}

/** A function of its own, so that the table's closures don't keep the builder's arrays in memory. */
function createTable (
  ranges4: Ranges, ranges6: Ranges, origins: readonly Origin[], size: number
): BlockTable {
  return {
    find: text => {
      const address = parseAddress(text)
      if (address === undefined) return undefined
      const owner = ownerAt(address.family === 4 ? ranges4 : ranges6, address.value)
      return owner === 0 ? undefined : origins[owner]
    },
    size,
    ranges: ranges4.owners.length + ranges6.owners.length,
    bytes: [ranges4, ranges6].reduce((sum, { starts, owners }) => sum + starts.byteLength + owners.byteLength, 0)
  }
}

function * unpack (sorted: Float64Array): Generator<OwnedBlock<number>> {
  for (const packed of sorted) {
    const key = Math.floor(packed / OWNER_RANGE)
    yield { start: Math.floor(key / PREFIX_RANGE), prefix: key % PREFIX_RANGE, owner: packed % OWNER_RANGE }
  }
}

function endOf4 ({ start, prefix }: OwnedBlock<number>): number {
  return start + 2 ** (MAX_PREFIX[4] - prefix)
}

function endOf6 ({ start, prefix }: OwnedBlock<bigint>): bigint {
  return start + (1n << BigInt(MAX_PREFIX[6] - prefix))
}

/** Collects ranges in order of their first address. Each block begins one and ends with the begin of at most one. */
function createRanges<A extends number | bigint> (starts: Starts, limit: A): RangeList<A> {
  const owners = new Uint32Array(starts.length)
  let size = 0
  let last: A | undefined
  return {
    limit,
    begin: (start, owner) => {
      // The end of the address space begins no range.
      if (start === limit) return
      if (last === start) size -= 1
      last = start
      if ((size === 0 ? 0 : owners[size - 1]) === owner) {
        last = undefined
        return
      }
      starts[size] = start
      owners[size] = owner
      size += 1
    },
    end: () => ({ starts: starts.slice(0, size), owners: owners.slice(0, size) })
  }
}

/** Walks the blocks in order and keeps the stack of those that contain the current address. */
function flatten<A extends number | bigint> (
  sorted: Iterable<OwnedBlock<A>>, ranges: RangeList<A>, endOf: (block: OwnedBlock<A>) => A
): Ranges {
  const open: Array<{ readonly end: A, readonly owner: number }> = []
  function closeUpTo (address: A): void {
    for (let top = open.at(-1); top !== undefined && top.end <= address; top = open.at(-1)) {
      open.pop()
      ranges.begin(top.end, open.at(-1)?.owner ?? 0)
    }
  }
  let previous: OwnedBlock<A> | undefined
  for (const block of sorted) {
    if (previous?.start === block.start && previous.prefix === block.prefix) continue
    previous = block
    closeUpTo(block.start)
    open.push({ end: endOf(block), owner: block.owner })
    ranges.begin(block.start, block.owner)
  }
  closeUpTo(ranges.limit)
  return ranges.end()
}

/** Owner of the last range that starts at or below the value. */
function ownerAt ({ starts, owners }: Ranges, value: number | bigint): number {
  let low = 0
  let high = starts.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if ((starts[middle] ?? 0) <= value) low = middle + 1
    else high = middle
  }
  return owners[low - 1] ?? 0
}
