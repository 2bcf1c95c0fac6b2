/**
 * Benchmarks the request path with real processes on the loopback interface:
 * latency through the entries and of direct calls, CPU time and peer traffic
 * per request, and memory of the entries.
 *
 * Usage: node tools/benchmark_requests.js
 */

import {readFileSync} from 'node:fs';
import {LoadRunner} from '../packages/load/dist/src/load_runner.js';
import {
  createTestDocument,
  ProcessHarness,
} from '../packages/dev/dist/test/process_harness.js';

const SERVICE = 'class-desk';
const DURATION_MS = 6_000;
const RATES = [100, 300, 600];
const CLOCK_TICKS_PER_S = 100;
const PAGE_BYTES = 4_096;
const BYTES_PER_MB = 1024 * 1024;

const DOCUMENT = createTestDocument([
  {
    name: SERVICE,
    replicas: 4,
    slotsPerReplica: 64,
    deadlineMs: 5_000,
    routes: [{pathPrefix: '/', isReadOnly: true}],
  },
]);

/** Reads the CPU time and resident memory of a process from `/proc`. */
function readProcess(pid) {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8')
    .split(') ')[1]
    .split(' ');
  const cpuS = (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_S;
  const residentMb = (Number(fields[21]) * PAGE_BYTES) / BYTES_PER_MB;
  return {cpuS, residentMb};
}

function sumCpu(pids) {
  let cpuS = 0;
  for (const pid of pids) cpuS += readProcess(pid).cpuS;
  return cpuS;
}

async function runLoad(
  harness,
  targets,
  ratePerS,
  keyedFraction,
  service = SERVICE,
) {
  const runner = LoadRunner.create(
    {
      targets,
      service,
      ratePerS,
      durationMs: DURATION_MS,
      seed: 1,
      maxBodyBytes: 2_048,
      keyedFraction,
      readFraction: 0.5,
      timeoutMs: 5_000,
    },
    harness.clock,
  );
  return runner.run();
}

async function getInnerBytes(harness) {
  const status = JSON.parse(
    (await harness.runCtl(['--json', 'status'])).stdout,
  );
  let bytes = 0;
  for (const node of status) bytes += node.innerTraffic?.sentBytes ?? 0;
  return bytes;
}

const harness = await ProcessHarness.create(
  {serviceTimeMs: 10, regionDelayMs: 0, domainDelayMs: 0},
  DOCUMENT,
);
try {
  await harness.start(SERVICE, 4 * 64);
  await harness.clock.sleep(12_000);
  const pids = harness.plans.map(({nodeId}) => harness.getPid(nodeId));
  const direct = harness.getDirectUrl();
  console.log(
    '| path | requests / s | p50 ms | p99 ms | ran of sent | entry CPU ms / request | inner bytes / request | entry MB |',
  );
  console.log('| --- | --- | --- | --- | --- | --- | --- | --- |');
  for (const rate of RATES) {
    const base = await runLoad(harness, [direct], rate, 0, 'direct');
    console.log(
      `| direct | ${rate} | ${base.latency.p50Ms.toFixed(1)} | ${base.latency.p99Ms.toFixed(1)} | - | - | - | - |`,
    );
    for (const keyed of [0, 0.3]) {
      const cpuBefore = sumCpu(pids);
      const bytesBefore = await getInnerBytes(harness);
      const report = await runLoad(harness, harness.getTargets(), rate, keyed);
      const cpuMs = (sumCpu(pids) - cpuBefore) * 1_000;
      const bytes = (await getInnerBytes(harness)) - bytesBefore;
      const memory = Math.max(...pids.map(pid => readProcess(pid).residentMb));
      console.log(
        `| entries, ${keyed * 100} % keyed | ${rate} | ${report.latency.p50Ms.toFixed(1)} | ${report.latency.p99Ms.toFixed(1)} | ${report.ran} of ${report.sent} | ${(cpuMs / report.sent).toFixed(2)} | ${(bytes / report.sent).toFixed(0)} | ${memory.toFixed(0)} |`,
      );
    }
  }
  const before = sumCpu(pids);
  const idleBytes = await getInnerBytes(harness);
  await harness.clock.sleep(10_000);
  console.log(
    `idle: ${(((sumCpu(pids) - before) * 100) / pids.length).toFixed(1)} ms of CPU per second and entry, ${(((await getInnerBytes(harness)) - idleBytes) / 10 / pids.length).toFixed(0)} inner bytes per second and entry`,
  );
} finally {
  harness.stop();
}
process.exit(0);
