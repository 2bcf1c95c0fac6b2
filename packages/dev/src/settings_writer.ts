/** Generates the settings files for all processes of an environment. */

import {randomBytes} from 'node:crypto';
import {existsSync, mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {
  EnvironmentLayout,
  getEntryPlans,
  getPlatformPort,
} from './environment_layout.js';

const KEY_FILE = 'keys.txt';
const KEY_BYTES = 32;
const KEY_FILE_MODE = 0o600;

/**
 * Writes the settings files for entries, schedulers and mustardlugctl, and generates
 * a key file if there is none.
 * @param layout - Validated layout.
 * @param folder - Output directory; created if missing.
 * @returns Paths of the written settings files.
 */
export function writeSettings(
  layout: EnvironmentLayout,
  folder: string,
): string[] {
  mkdirSync(folder, {recursive: true});
  const keyPath = join(folder, KEY_FILE);
  if (!existsSync(keyPath)) {
    const key = randomBytes(KEY_BYTES).toString('hex');
    writeFileSync(keyPath, `${key}\n`, {mode: KEY_FILE_MODE});
  }
  const paths: string[] = [];
  const write = (name: string, value: object) => {
    const path = join(folder, name);
    writeFileSync(path, `${JSON.stringify(value, null, 2)}\n`);
    paths.push(path);
  };
  for (const plan of getEntryPlans(layout)) {
    const {nodeId, region, failureDomain} = plan;
    const common = {
      nodeId,
      region,
      failureDomain,
      keyFile: KEY_FILE,
      platformUrl: getUrl(getPlatformPort(layout, failureDomain)),
    };
    write(`${nodeId}.json`, {
      ...common,
      callerPort: plan.callerPort,
      innerPort: plan.innerPort,
    });
    write(`scheduler-${nodeId.replace('entry-', '')}.json`, {
      ...common,
      operatorPort: plan.schedulerPort,
      entryUrl: getUrl(plan.innerPort),
    });
  }
  write('ctl.json', {
    keyFile: KEY_FILE,
    platformUrl: getUrl(layout.basePort),
    nodes: getEntryPlans(layout).flatMap(plan => [
      getUrl(plan.innerPort),
      getUrl(plan.schedulerPort),
    ]),
  });
  return paths;
}

function getUrl(port: number): string {
  return `http://127.0.0.1:${port}`;
}
