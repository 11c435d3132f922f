/**
 * Accounts for traffic that leaves its zone of origin and enforces the shift cap.
 */

/** Shift accounting of this instance, by service and origin zone. */
export interface ShiftMeter {
  recordRequest (service: string, originZone: string, now: number): void
  mayMove (service: string, originZone: string, toZone: string, now: number): boolean
  recordMove (service: string, originZone: string, toZone: string, now: number): void
}
