/** Alters a router's program where it is loaded, which sabotages use. */
import fs from 'node:fs';

const PROGRAM = /router\.js$/;
const COMPILED = /router\.compiled$/;

/** Replaces a part of the program's text, which has to be there exactly once. */
export function alterProgram(part: string, replacement: string): void {
  const readFile = fs.readFileSync;
  fs.readFileSync = ((...parameters: Parameters<typeof readFile>) => {
    const path = String(parameters[0]);
    if (COMPILED.test(path)) {
      throw new Error('what was compiled is not the altered program');
    }
    const content = readFile(...parameters);
    return PROGRAM.test(path) ? replaceOnce(String(content), part, replacement) : content;
  }) as typeof readFile;
}

function replaceOnce(text: string, part: string, replacement: string): string {
  const pieces = text.split(part);
  if (pieces.length !== 2) {
    throw new Error(`${part} is there ${pieces.length - 1} times in place of once`);
  }
  return pieces.join(replacement);
}
