"""Writes an HTML report on a run from its folder, with plots as SVG.

It needs no display; the page has no scripts and fetches nothing.
"""

import io
import json

import jinja2
import matplotlib
from markupsafe import Markup

from molehill.emulator import scenario as scenarios
from molehill.fleet import figures, history
from molehill.fleet import play as plays

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402

PAGE = jinja2.Template(
    """<!doctype html><meta charset="utf-8"><title>{{ verdict.word }}: {{ note }}</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ddd}
.kept{color:#070}.broken{color:#b00}.void,.unknown{color:#a60}svg{max-width:100%;height:auto}</style>
<h1 class="{{ verdict.word }}">{{ verdict.word }}</h1><p>{{ note }} Seed {{ verdict.seed }}; the rig was {{ verdict.late_ms }} ms late at most.
Hosts, discovery and order programs are stand-ins; relays are processes of the program.</p>
<h2>Findings</h2><table><tr><th>property<th>word<th>text{% for row in verdict.findings %}
<tr><td>{{ row.property }}<td class="{{ row.word }}">{{ row.word }}<td>{{ row.text }}{% if row.word != "kept" %} {{ row.facts }}{% endif %}{% endfor %}</table>
<h2>What each fault touched</h2><table><tr><th>fault<th>on<th>at, ms<th>touched{% for row in touched %}
<tr><td>{{ row.kind }}<td>{{ row.who }}<td>{{ row.at_ms }}<td>{{ row.count }}{% endfor %}</table>
<h2>Service</h2>{{ service }}<h2>Who was cut, away, or slow, when</h2>{{ spans }}
<h2>Delivery</h2><table><tr>{% for name in delivery %}<th>{{ name }}{% endfor %}<tr>{% for value in delivery.values() %}<td>{{ value }}{% endfor %}</table>
<p>Milliseconds from when a callback was due at its program to its host's answer.</p>
<h2>Processor time and bytes</h2>{{ cpu }}<p>Share of the rig: {{ costs.rig_share }}.</p><table><tr><th>relay<th>bytes said<th>bytes heard
{% for name, row in costs.bytes.items() %}<tr><td>{{ name }}<td>{{ row[0] }}<td>{{ row[1] }}{% endfor %}</table>
""",
    autoescape=True,
)


def render_svg(draw, height: float = 2.6):
    """Returns the plot that `draw(axes)` makes as SVG markup."""
    figure, axes = pyplot.subplots(figsize=(9, height))
    draw(axes)
    figure.tight_layout()
    out = io.StringIO()
    figure.savefig(out, format="svg")
    pyplot.close(figure)
    text = out.getvalue()
    return Markup(text[text.index("<svg") :])  # drawn here, no text of a party: not escaped


def write(folder, target) -> None:
    """Writes the page for the run in `folder` to `target`."""
    scenario = scenarios.load((folder / plays.SCENARIO).read_text(encoding="utf-8"))
    told = history.read(folder)
    kept = folder / plays.VERDICT
    verdict = (
        json.loads(kept.read_text(encoding="utf-8"))
        if kept.exists()
        else {"seed": scenario.seed, **plays.judge(folder, scenario)}
    )
    rows, bars, costs = (
        figures.by_second(told),
        figures.fault_spans(told, scenario),
        figures.costs(told),
    )

    def service(axes) -> None:
        axes.step([r[0] for r in rows], [r[1] for r in rows], where="post", label="due")
        axes.step(
            [r[0] for r in rows], [r[2] for r in rows], where="post", label="of those delivered"
        )
        axes.set_xlabel("second")
        axes.legend()

    def lanes(axes) -> None:
        for n, (name, begun, over) in enumerate(bars):
            axes.barh(n, over - begun, left=begun)
        axes.set_yticks(range(len(bars)), [name for name, *_ in bars])
        axes.set_xlabel("second")

    def cpu(axes) -> None:
        axes.bar(list(costs["cpu_s"]), list(costs["cpu_s"].values()))
        axes.set_ylabel("seconds of a core")
        axes.tick_params(axis="x", rotation=60)

    touched = next(
        (row["facts"]["touched"] for row in verdict["findings"] if row["property"] == "faults hit"),
        [],
    )
    target.write_text(
        PAGE.render(
            verdict=verdict,
            note=scenario.note,
            touched=touched,
            service=render_svg(service),
            spans=render_svg(lanes, 1 + 0.3 * len(bars)),
            cpu=render_svg(cpu),
            delivery=figures.delivery(told),
            costs=costs,
        ),
        encoding="utf-8",
    )
