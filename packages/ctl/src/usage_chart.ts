/** Renders core-hours as an SVG bar chart. */

import {UsageReport} from '@mustardlug/scheduling/usage_report';

interface Bar {
  readonly label: string;
  readonly coreMs: number;
  readonly color: string;
}

const MS_PER_HOUR = 3_600_000;
const WIDTH = 720;
const LABEL_WIDTH = 260;
const VALUE_WIDTH = 120;
const ROW_HEIGHT = 26;
const BAR_HEIGHT = 16;
const TITLE_HEIGHT = 40;
const COLORS = {
  service: '#2b6cb0',
  batch: '#2f855a',
  idle: '#a0aec0',
  lost: '#c53030',
};

/** Renders a usage report as an SVG document. */
export function renderUsageChart(report: UsageReport): string {
  const bars: Bar[] = report.owners.map(({team, kind, name, coreMs}) => ({
    label: `${team} / ${name}`,
    coreMs,
    color: COLORS[kind],
  }));
  bars.push({label: 'idle', coreMs: report.idleCoreMs, color: COLORS.idle});
  bars.push({
    label: 'lost to failures',
    coreMs: report.lostCoreMs,
    color: COLORS.lost,
  });
  const maxCoreMs = Math.max(1, ...bars.map(bar => bar.coreMs));
  const height = TITLE_HEIGHT + bars.length * ROW_HEIGHT + ROW_HEIGHT;
  const rows = bars.map((bar, index) => renderBar(bar, index, maxCoreMs));
  const gapText = `${report.gaps.length} gaps in the usage records`;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="13">`,
    `<rect width="${WIDTH}" height="${height}" fill="white"/>`,
    '<text x="10" y="24" font-size="16">Core-hours by owner</text>',
    ...rows,
    `<text x="10" y="${height - 8}" fill="#4a5568">${gapText}</text>`,
    '</svg>',
    '',
  ].join('\n');
}

function renderBar(bar: Bar, index: number, maxCoreMs: number): string {
  const y = TITLE_HEIGHT + index * ROW_HEIGHT;
  const maxBarWidth = WIDTH - LABEL_WIDTH - VALUE_WIDTH;
  const width = Math.max(1, (bar.coreMs / maxCoreMs) * maxBarWidth);
  const hours = (bar.coreMs / MS_PER_HOUR).toFixed(3);
  return [
    `<text x="10" y="${y + BAR_HEIGHT - 3}">${escapeXml(bar.label)}</text>`,
    `<rect x="${LABEL_WIDTH}" y="${y}" width="${width.toFixed(1)}" height="${BAR_HEIGHT}" fill="${bar.color}"/>`,
    `<text x="${LABEL_WIDTH + width + 8}" y="${y + BAR_HEIGHT - 3}">${hours}</text>`,
  ].join('');
}

function escapeXml(text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;');
}
