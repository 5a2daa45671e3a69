/** Numbers of questions: 1, 2, 3 and so on. */
export function questionNumbers(): () => number {
  let last = 0;
  return () => {
    last += 1;
    return last;
  };
}
