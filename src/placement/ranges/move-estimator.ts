/** Estimates from recent moves of keys how long keys have no owner, and whether the previous owner hands them over. */

/** Expected course of the next move. */
export interface MoveEstimate {
  /** Time for which the keys have no owner. */
  readonly unownedMillis: number;
  /** Share of moves with a handover from the previous owner. */
  readonly handoverShare: number;
}

/** Initial estimate: the owner is asked to release the keys, finishes its requests, and the next owner is granted the keys. */
const INITIAL_UNOWNED_MILLIS = 400;
/** Initial estimate: an owner that is asked to release keys hands them over; only lost owners don't. */
const INITIAL_HANDOVER_SHARE = 1;
/** Weight of the latest move in the moving average. */
const MOVE_WEIGHT = 0.1;

export class MoveEstimator {
  #unownedMillis = INITIAL_UNOWNED_MILLIS;
  #handoverShare = INITIAL_HANDOVER_SHARE;

  get estimate(): MoveEstimate {
    return { unownedMillis: this.#unownedMillis, handoverShare: this.#handoverShare };
  }

  /** Records that keys which were moved off an owner on purpose have their next owner. */
  recordMove(unownedMillis: number, hasHandover: boolean): void {
    this.#unownedMillis += (unownedMillis - this.#unownedMillis) * MOVE_WEIGHT;
    this.#handoverShare += (Number(hasHandover) - this.#handoverShare) * MOVE_WEIGHT;
  }
}
