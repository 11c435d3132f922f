/**
 * Decides in which rounds an instance asks others for parts of quotas. Load pattern: teams that send several times their quota
 * everywhere, so that no instance has anything to lend; asking all of them in each round takes processor time from requests.
 */

export interface InquiryBackoff {
  /** Whether to ask in this round; `hasShortage` if there is something to ask for. */
  readonly shouldAsk: (hasShortage: boolean) => boolean
  /** Records that an inquiry was granted something. */
  readonly recordGrant: () => void
}

/** Rounds that are left out at most between two in which instances are asked. */
const MAX_SKIPPED_ROUNDS = 3

export function createInquiryBackoff (): InquiryBackoff {
  let roundsWithoutGrant = 0
  let skippedRounds = 0
  return {
    shouldAsk: hasShortage => {
      if (!hasShortage) {
        roundsWithoutGrant = 0
        skippedRounds = 0
        return false
      }
      if (skippedRounds < Math.min(MAX_SKIPPED_ROUNDS, roundsWithoutGrant - 1)) {
        skippedRounds += 1
        return false
      }
      skippedRounds = 0
      roundsWithoutGrant += 1
      return true
    },
    recordGrant: () => { roundsWithoutGrant = 0 }
  }
}
