/**
 * Runs a daemon of a bundle for a moment on addresses of its own, and keeps what V8 compiled of it until then:
 * `keep-compiled.cjs FOLDER router|control`. Part of the build.
 */
const { mkdtempSync, rmSync, writeFileSync } = require('node:fs');
const { tmpdir } = require('node:os');
const { join, resolve } = require('node:path');

const RUN_MILLIS = 1500;

const [, , bundleFolder, daemon] = process.argv;
const folder = mkdtempSync(join(tmpdir(), 'ternmount-build-'));
const host = `127.201.${Math.floor(process.pid / 250) % 250}.${1 + (process.pid % 250)}`;
const common = `cluster: build\nzone: zone\nlisten: ${host}:8002\nadmin: ${host}:8001\ntrustedNetwork: true\n`;
const SETTINGS = {
  router: `${common}router: router\ncontrol: ["${host}:8003"]\nbyRoutes: true\nwhenOutOfTouch: serve\nprobeInterval: 0s\n`,
  control: `${common}replicaName: control\ndataFolder: ${folder}/replica\nseeds: ["${host}:8001"]\nbootstrap: true\ntoleratedLosses: 0\n`,
};
const file = join(folder, 'settings.yaml');
writeFileSync(file, SETTINGS[daemon]);

// The daemon reads its own command line, and ends the process when it is stopped.
process.argv.splice(2, process.argv.length, daemon, 'run', '--settings', file);
process.stdout.write = () => true;
const { compiledPath, launch } = require(resolve(bundleFolder, 'ternmount.cjs'));
const script = launch(daemon);
process.on('exit', () => {
  writeFileSync(compiledPath(daemon), script.createCachedData());
  rmSync(folder, { recursive: true, force: true });
});
setTimeout(() => process.kill(process.pid, 'SIGTERM'), RUN_MILLIS).unref();
