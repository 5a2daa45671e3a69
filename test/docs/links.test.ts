/** Every relative link on the pages leads somewhere. */
import { existsSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { expect } from 'chai';
import { type Page, proseOf, readPages } from './pages.js';

const LINK = /\]\(([^)\s]+)\)/g;
const EXTERNAL = /^[a-z]+:/;

/** The anchor that a heading gets. */
function anchorOf(heading: string): string {
  const plain = heading.replace(/[`*]/g, '').trim().toLowerCase();
  return plain.replace(/[^\p{L}\p{N} _-]/gu, '').replaceAll(' ', '-');
}

function anchorsIn(text: string): Set<string> {
  const headings = [...text.replace(/^```.*?^```/gms, '').matchAll(/^#+ (.*)$/gm)];
  return new Set(headings.map(([, heading = '']) => anchorOf(heading)));
}

function checkLink(page: Page, link: string): void {
  const [file = '', anchor] = link.split('#');
  const path = file === '' ? page.path : join(dirname(page.path), file);
  expect(existsSync(path), `${page.name}: ${link}`).to.equal(true);
  if (anchor !== undefined && path.endsWith('.md')) {
    expect(anchorsIn(readFileSync(path, 'utf8')).has(anchor), `${page.name}: ${link}`).to.equal(true);
  }
}

describe('links on the pages', () => {
  for (const page of readPages()) {
    const links = [...proseOf(page).matchAll(LINK)].map(([, link = '']) => link);
    const own = links.filter((link) => !EXTERNAL.test(link));
    if (own.length > 0) {
      it(`${page.name}: ${own.length} lead somewhere`, () => {
        for (const link of own) {
          checkLink(page, link);
        }
      });
    }
  }
});
