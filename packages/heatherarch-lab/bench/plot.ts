/**
 * Draws SVG plots of goodput and engine roles over time.
 *
 * @module
 */
import type { ArmName, MixReport, TimelinePoint } from "./mix_bench.ts";

const WIDTH = 900;
const PANEL_HEIGHT = 170;
const MARGIN = 50;
const COLOURS = {
  offered: "#999",
  goodput: "#1a7f37",
  prefillers: "#d1242f",
  decoders: "#0969da",
  mixed: "#8250df",
};

type Series = keyof typeof COLOURS;

/** Draws one panel for each policy of a report. */
export function drawMixPlot(report: MixReport): string {
  const names = Object.keys(report.timelines) as ArmName[];
  const height = MARGIN + names.length * (PANEL_HEIGHT + MARGIN);
  const panels = names.map((name, index) =>
    drawPanel(
      name,
      report.timelines[name] ?? [],
      MARGIN + index * (PANEL_HEIGHT + MARGIN),
    )
  );
  const legend = (Object.keys(COLOURS) as Series[]).map((series, index) =>
    `<text x="${MARGIN + 230 + index * 110}" y="20" fill="${
      COLOURS[series]
    }">${series}</text>`
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="12">`,
    `<rect width="100%" height="100%" fill="white"/>`,
    `<text x="${MARGIN}" y="20" font-weight="bold">${report.trace}, ${report.deployment}</text>`,
    ...legend,
    ...panels,
    "</svg>",
  ].join("\n");
}

function drawPanel(
  name: string,
  points: readonly TimelinePoint[],
  top: number,
): string {
  if (points.length === 0) return "";
  const maxRequests = Math.max(1, ...points.map((point) => point.offered));
  const maxEngines = Math.max(
    1,
    ...points.map((p) => p.prefillers + p.decoders + p.mixed),
  );
  const lines = (Object.keys(COLOURS) as Series[]).map((series) => {
    const scale = series === "offered" || series === "goodput"
      ? maxRequests
      : maxEngines;
    return drawLine(points, series, { top, scale });
  });
  const bottom = top + PANEL_HEIGHT;
  return [
    `<rect x="${MARGIN}" y="${top}" width="${
      WIDTH - 2 * MARGIN
    }" height="${PANEL_HEIGHT}" fill="none" stroke="#ccc"/>`,
    `<text x="${MARGIN}" y="${
      top - 6
    }">${name}: requests per second (left axis, max. ${maxRequests}), engines by role (right axis, max. ${maxEngines})</text>`,
    `<text x="${WIDTH - MARGIN}" y="${
      bottom + 14
    }" text-anchor="end">${points.length} s</text>`,
    ...lines,
  ].join("\n");
}

function drawLine(
  points: readonly TimelinePoint[],
  series: Series,
  { top, scale }: { top: number; scale: number },
): string {
  const step = (WIDTH - 2 * MARGIN) / Math.max(1, points.length - 1);
  const path = points.map((point, index) => {
    const x = MARGIN + index * step;
    const y = top + PANEL_HEIGHT * (1 - point[series] / scale);
    return `${x.toFixed(1)},${y.toFixed(1)}`;
  });
  const dashed = series === "offered" ? ` stroke-dasharray="4 3"` : "";
  return `<polyline points="${path.join(" ")}" fill="none" stroke="${
    COLOURS[series]
  }" stroke-width="1.5"${dashed}/>`;
}
