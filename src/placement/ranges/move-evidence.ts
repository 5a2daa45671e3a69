/** What moves of keys cost lately: how long the keys had no owner, and whether the hand-over of the last one came along. */

/** What one further move is expected to cost in time. */
export interface MoveTimes {
  /** Time without an owner, in milliseconds. */
  readonly unownedMillis: number;
  /** Share of moves that come with the hand-over of the last owner. */
  readonly handoverShare: number;
}

/** Until moves were seen: an owner is asked, finishes what it works on, and the next one is told. */
const ASSUMED_UNOWNED_MILLIS = 400;
/** An owner that is asked to give keys up hands them over; only lost ones don't. */
const ASSUMED_HANDOVER_SHARE = 1;
/** Weight of one move beside all earlier ones. */
const MOVE_WEIGHT = 0.1;

export class MoveEvidence {
  #unownedMillis = ASSUMED_UNOWNED_MILLIS;
  #handoverShare = ASSUMED_HANDOVER_SHARE;

  get times(): MoveTimes {
    return { unownedMillis: this.#unownedMillis, handoverShare: this.#handoverShare };
  }

  /** Keys that were taken off an owner on purpose have their next one. */
  moved(unownedMillis: number, hasHandover: boolean): void {
    this.#unownedMillis += (unownedMillis - this.#unownedMillis) * MOVE_WEIGHT;
    this.#handoverShare += (Number(hasHandover) - this.#handoverShare) * MOVE_WEIGHT;
  }
}
