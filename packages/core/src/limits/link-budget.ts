/**
 * Byte budgets of the links between regions.
 */
import type { LengthClass } from '../configuration.js'

/** This instance's share of the links that leave its region. */
export interface LinkBudget {
  /** Time until the budget has `bytes`, in milliseconds; 0 when it has them now. */
  waitMs (fromRegion: string, toRegion: string, bytes: number, length: LengthClass, now: number): number
  take (fromRegion: string, toRegion: string, bytes: number, now: number): void
}
