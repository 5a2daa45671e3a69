/** Seeded random numbers for stand-ins: the same seed gives the same load. */
import { RandomSource } from '../virtual/random-source.js';

/** The first draws of a small seed are all close to 1, because its state is nearly all ones or zeros. */
const DISCARDED_DRAWS = 32;

/** For small consecutive seeds, which stand-ins use. */
export class StandinRandomSource extends RandomSource {
  constructor(seed: number) {
    super(seed);
    for (let draw = 0; draw < DISCARDED_DRAWS; draw += 1) {
      this.generator.next();
    }
  }
}
