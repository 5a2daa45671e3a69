/** Sabotage, loaded before a router: a planned stop counts its time from when its signal is heard, however late that is. */
import { alterProgram } from './altered-program.js';

alterProgram('earliestSignalAt(now){', 'earliestSignalAt(now){return now;');
