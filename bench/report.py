"""Writes reports as JSON, Markdown tables and plots under ``.bench/``."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

from .running import Figures, Summary, Trial, summarise

OUTPUT_FOLDER = Path(".bench")
COLUMNS = (
    "idle_above_floor",
    "staleness_mean",
    "staleness_max",
    "over_bound",
    "step_p50_seconds",
    "step_p99_seconds",
    "answered_share",
    "request_p50_seconds",
    "request_p99_seconds",
    "prefix_hit_share",
    "retry_amplification",
    "wasted_share",
    "use_cv",
    "use_cv_first",
    "rollout_p50_seconds",
    "change_max_seconds",
)
_PLOTTED_COLUMNS = ("idle_above_floor", "staleness_mean", "wasted_share", "use_cv")


def write_report(name: str, figures_by_trial: dict[Trial, Figures]) -> str:
    """Write the report called ``name`` and return its Markdown."""
    folder = OUTPUT_FOLDER / name
    folder.mkdir(parents=True, exist_ok=True)
    rows = [
        {"trial": asdict(trial), "figures": figures}
        for trial, figures in figures_by_trial.items()
    ]
    (folder / "runs.json").write_text(json.dumps(rows, indent=1) + "\n")
    summaries = summaries_by_scenario(figures_by_trial)
    text = "\n\n".join(
        f"### {deployment}, {scenario}\n\n{table(by_policy)}"
        for (deployment, scenario), by_policy in summaries.items()
    )
    (folder / "table.md").write_text(text + "\n")
    for (deployment, scenario), by_policy in summaries.items():
        _plot_bars(folder / f"{deployment}-{scenario}.png", by_policy)
    return text


def summaries_by_scenario(
    figures_by_trial: dict[Trial, Figures],
) -> dict[tuple[str, str], dict[str, dict[str, Summary]]]:
    """Return summaries over the seeds, by (deployment, scenario) and by policy set."""
    runs: dict[tuple[str, str], dict[str, list[Figures]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for trial, figures in figures_by_trial.items():
        label = trial.policies
        if trial.idle_weight is not None:
            label = f"{label}, idle weight {trial.idle_weight}"
        runs[trial.deployment, trial.scenario][label].append(figures)
    return {
        key: {label: summarise(rows) for label, rows in by_label.items()}
        for key, by_label in runs.items()
    }


def table(
    by_policy: dict[str, dict[str, Summary]], columns: Sequence[str] = COLUMNS
) -> str:
    """Return a Markdown table with a row per figure: median (lowest to highest)."""
    lines = [
        "| measure | " + " | ".join(by_policy) + " |",
        "|---" * (len(by_policy) + 1) + "|",
    ]
    for column in columns:
        cells = [_format_cell(summaries[column]) for summaries in by_policy.values()]
        lines.append(f"| {column} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _format_cell(summary: Summary) -> str:
    if summary.low == summary.high:
        return f"{summary.median:.4g}"
    return f"{summary.median:.4g} ({summary.low:.4g} to {summary.high:.4g})"


def plot_curve(figures_by_trial: dict[Trial, Figures]) -> None:
    """Plot idle time over staleness: a line per deployment, a point per idle weight."""
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    runs: dict[tuple[str, float], list[Figures]] = defaultdict(list)
    for trial, figures in figures_by_trial.items():
        runs[trial.deployment, trial.idle_weight or 0.0].append(figures)
    figure = Figure(figsize=(7, 5), layout="constrained")
    FigureCanvasAgg(figure)
    axes = figure.subplots()
    for deployment in sorted({name for name, _ in runs}):
        weights = sorted(weight for name, weight in runs if name == deployment)
        rows = [summarise(runs[deployment, weight]) for weight in weights]
        xs = [row["staleness_mean"].median for row in rows]
        ys = [row["idle_above_floor"].median for row in rows]
        axes.plot(xs, ys, marker="o", label=deployment)
        for point in zip(weights, xs, ys):
            axes.annotate(f"{point[0]:g}", point[1:])
    axes.set_xlabel("mean staleness, versions")
    axes.set_ylabel("idle above the floor, s a step")
    axes.legend(title="points: idle weight")
    figure.savefig(OUTPUT_FOLDER / "curve" / "curve.png", dpi=110)


def _plot_bars(path: Path, by_policy: dict[str, dict[str, Summary]]) -> None:
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10, 7), layout="constrained")
    FigureCanvasAgg(figure)
    labels = list(by_policy)
    for axes, column in zip(figure.subplots(2, 2).flat, _PLOTTED_COLUMNS):
        rows = [by_policy[label][column] for label in labels]
        medians = [row.median for row in rows]
        error_bars = [
            [row.median - row.low for row in rows],
            [row.high - row.median for row in rows],
        ]
        axes.barh(labels, medians, xerr=error_bars, color="tab:blue", capsize=3)
        axes.invert_yaxis()
        axes.set_title(column)
    figure.savefig(path, dpi=110)
