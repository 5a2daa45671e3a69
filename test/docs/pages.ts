/** The project's pages, and what tests read off them. */
import { readdirSync, readFileSync } from 'node:fs';
import { join, relative, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Root of the repository, seen from the compiled test. */
const ROOT = resolve(fileURLToPath(new URL('../../../', import.meta.url)));
const FOLDERS = ['docs', 'examples'];

/** One Markdown file. */
export interface Page {
  /** From the root of the repository. */
  readonly name: string;
  readonly path: string;
  readonly text: string;
}

/** A fenced block. */
export interface Block {
  readonly page: string;
  /** Line of its first line of text. */
  readonly line: number;
  readonly language: string;
  readonly text: string;
}

function markdownIn(folder: string): string[] {
  return readdirSync(join(ROOT, folder), { recursive: true, encoding: 'utf8' })
    .map((name) => join(folder, name))
    .filter((name) => name.endsWith('.md'));
}

/** All pages. */
export function readPages(): Page[] {
  const own = readdirSync(ROOT).filter((name) => name.endsWith('.md'));
  return [...own, ...FOLDERS.flatMap(markdownIn)].sort().map((name) => {
    const path = join(ROOT, name);
    return { name: relative(ROOT, path), path, text: readFileSync(path, 'utf8') };
  });
}

/** The text of one page; throws if it isn't there. */
export function readPage(name: string): string {
  return readFileSync(join(ROOT, name), 'utf8');
}

/** The fenced blocks of a page. */
export function blocksOf(page: Page): Block[] {
  const blocks: Block[] = [];
  let open: { language: string; line: number; lines: string[] } | null = null;
  page.text.split('\n').forEach((line, index) => {
    const fence = /^```(\S*)/.exec(line);
    if (fence === null) {
      open?.lines.push(line);
    } else if (open === null) {
      open = { language: fence[1] ?? '', line: index + 2, lines: [] };
    } else {
      const { language, lines } = open;
      blocks.push({ page: page.name, line: open.line, language, text: lines.join('\n') });
      open = null;
    }
  });
  return blocks;
}

/** The text of a page without its fenced blocks. */
export function proseOf(page: Page): string {
  return page.text.replace(/^```.*?^```/gms, '');
}
