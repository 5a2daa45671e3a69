/**
 * Starts a daemon from its bundle: `ternmount.cjs router run ...`. With the code beside the bundle that V8 compiled when it was
 * built, nothing is parsed; without it, or if V8 refuses it, everything works the same, only later. Signals are listened for
 * before anything else is loaded.
 */
require('./early-signals.cjs');
const { readFileSync } = require('node:fs');
const { join } = require('node:path');
const { pathToFileURL } = require('node:url');
const { Script, constants } = require('node:vm');

/** Path of the compiled code of a daemon. */
function compiledPath(daemon) {
  return join(__dirname, `${daemon}.compiled`);
}

function readCompiled(daemon) {
  try {
    return readFileSync(compiledPath(daemon));
  } catch {
    return undefined;
  }
}

/** Loads the bundle of a daemon; gives its script. */
function loadScript(daemon) {
  const filename = join(__dirname, `${daemon}.js`);
  // Bundles are ASCII.
  return new Script(readFileSync(filename, 'latin1'), {
    filename,
    cachedData: readCompiled(daemon),
    importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
  });
}

/** Runs the daemon that the command line names. */
function launch(daemon) {
  const script = loadScript(daemon);
  script.runInThisContext()(require, pathToFileURL(__filename).href);
  return script;
}

if (require.main === module) {
  const [, , daemon = ''] = process.argv;
  if (!/^(?:router|control)$/.test(daemon)) {
    process.stderr.write('ternmount: this bundle runs "router run" and "control run"\n');
    process.exit(2);
  }
  launch(daemon);
}

module.exports = { compiledPath, launch };
