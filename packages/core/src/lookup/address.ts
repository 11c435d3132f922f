/**
 * Parses IP addresses and CIDR blocks into numbers that can be compared and searched.
 */
import { isIPv4, isIPv6 } from 'node:net'

/** An IP address. Of an IPv6 address only the first 64 bits are kept, which identify the network. */
export type Address = { readonly family: 4, readonly value: number } | { readonly family: 6, readonly value: bigint }

/** A CIDR block: its first address and the length of its prefix in bits. */
export type CidrBlock = Address & { readonly prefixLength: number }

/** Longest accepted prefix in bits, by address family. An IPv6 prefix longer than 64 bits would split a network. */
export const MAX_PREFIX_LENGTH = { 4: 32, 6: 64 } as const

const IPV4_MAPPED = /^::ffff:(\d+\.\d+\.\d+\.\d+)$/i
const IPV6_GROUPS = 8
const IPV6_NETWORK_GROUPS = 4
const GROUP_BITS = 16n

/** Parses an address. IPv4-mapped IPv6 addresses, which dual-stack sockets report, are returned as IPv4. */
export function parseAddress (text: string): Address | undefined {
  const mapped = IPV4_MAPPED.exec(text)?.[1] ?? text
  if (isIPv4(mapped)) {
    return { family: 4, value: mapped.split('.').reduce((sum, part) => sum * 256 + Number(part), 0) }
  }
  return isIPv6(text) ? { family: 6, value: parseIpv6Network(text) } : undefined
}

/** Parses `address/length`. Returns `undefined` for malformed blocks and for addresses with bits after the prefix. */
export function parseBlock (text: string): CidrBlock | undefined {
  const [, addressText = '', prefixText = ''] = /^(.+)\/(\d{1,3})$/.exec(text) ?? []
  const address = parseAddress(addressText)
  const prefixLength = Number(prefixText)
  if (address === undefined || prefixLength > MAX_PREFIX_LENGTH[address.family]) return undefined
  if (address.family === 4) {
    return address.value % 2 ** (MAX_PREFIX_LENGTH[4] - prefixLength) === 0 ? { family: 4, value: address.value, prefixLength } : undefined
  }
  return address.value % (1n << BigInt(MAX_PREFIX_LENGTH[6] - prefixLength)) === 0n ? { ...address, prefixLength } : undefined
}

function parseIpv6Network (text: string): bigint {
  const [head = '', tail] = text.replace(/%.*$/, '').split('::')
  const left = head === '' ? [] : head.split(':')
  const right = tail === undefined || tail === '' ? [] : tail.split(':')
  // A trailing dotted quad counts as two groups. Their value is not needed: they lie outside the first 64 bits.
  const rightGroups = right.length + (right.at(-1)?.includes('.') === true ? 1 : 0)
  const zeros = tail === undefined ? 0 : IPV6_GROUPS - left.length - rightGroups
  const groups = [...left, ...Array.from({ length: zeros }, () => '0'), ...right].slice(0, IPV6_NETWORK_GROUPS)
  return groups.reduce((sum, group) => (sum << GROUP_BITS) | BigInt(Number.parseInt(group, 16)), 0n)
}
