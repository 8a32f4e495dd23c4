"""HTML report with plots (gnuplot, SVG) from bench.json."""

import html
import json
import os
import subprocess

PLOT = """set terminal svg size 760,420 font "sans,12" background "white"
set output "{output}"
set title "{title}"
set xlabel "{xlabel}"
set ylabel "{ylabel}"
set grid
set key {key}
{extra}
plot {curves}
"""


def plot(folder, name, title, labels, curves, extra="", key="right bottom"):
    """Plots curves of (label, points); returns the SVG file's name.

    Points that contain None are left out; None if no point remains.
    """
    parts = []
    for index, (label, points) in enumerate(curves):
        data = os.path.join(folder, f"{name}-{index}.dat")
        with open(data, "w", encoding="utf-8") as output:
            for point in points:
                if None not in point:
                    output.write(" ".join(map(str, point)) + "\n")
        if os.path.getsize(data):
            parts.append(f'"{data}" using 1:2 with lines lw 2 title "{label}"')
    if not parts:
        return None
    output = os.path.join(folder, f"{name}.svg")
    script = PLOT.format(output=output, title=title, xlabel=labels[0],
                         ylabel=labels[1], curves=", ".join(parts),
                         extra=extra, key=key)
    subprocess.run(["gnuplot"], input=script.encode(), check=True,
                   timeout=60)
    return os.path.basename(output)


def grouped(series, kind):
    """Lists the series of one kind by (deployment, scenario)."""
    result = {}
    for item in series:
        if item["kind"] == kind:
            result.setdefault((item["deployment"], item["scenario"]),
                              []).append(item)
    return result


def plots(folder, series):
    """Draws all plots; returns (title, file name) of each."""
    drawn = []
    for (deployment, scenario), items in grouped(
            series, "distribution").items():
        title = f"{deployment} {scenario}: latency distribution"
        curves = [(item["policy"], [[value, share] for share, value
                                    in item["points"]]) for item in items]
        drawn.append((title, plot(folder, f"cdf-{deployment}-{scenario}",
                                  title, ("ms", "share of calls"), curves,
                                  "set logscale x")))
    for (deployment, scenario), items in grouped(series, "windows").items():
        title = f"{deployment} {scenario}: p99 per 100 ms"
        curves = [(item["policy"], [[at / 1000.0, p99] for at, _, p99
                                    in item["points"] if p99 is not None])
                  for item in items]
        drawn.append((title, plot(folder, f"time-{deployment}-{scenario}",
                                  title, ("s", "ms"), curves,
                                  key="right top")))
    for (deployment, scenario), items in grouped(
            series, "store_calls").items():
        title = f"{deployment} {scenario}: store calls by fleet size"
        curves = [(item["policy"], item["points"]) for item in items]
        drawn.append((title, plot(folder, f"store-{deployment}", title,
                                  ("VMs", "calls/s"), curves)))
    return [item for item in drawn if item[1]]


def write_report(path):
    """Writes report.html beside bench.json; returns its path."""
    folder = os.path.dirname(path)
    with open(path, encoding="utf-8") as source:
        content = json.load(source)
    keys = ("suite", "deployment", "scenario", "policy", "measure", "value",
            "bound", "verdict")
    rows = "".join(
        f"<tr class={item['verdict']}>" + "".join(
            f"<td>{html.escape(str(item[key]))}</td>" for key in keys)
        + "</tr>\n" for item in content["figures"])
    images = "".join(f"<h2>{html.escape(title)}</h2><img src='{file}'>\n"
                     for title, file in plots(folder, content["series"]))
    report = os.path.join(folder, "report.html")
    with open(report, "w", encoding="utf-8") as output:
        output.write(
            "<!doctype html><meta charset=utf-8><title>jujubecart benchmark"
            "</title><style>body{font-family:sans-serif}td{padding:0 .6em}"
            ".fail{background:#fdd}.pass{background:#dfd}</style>"
            f"<h1>jujubecart benchmark</h1><p>{html.escape(str(content['settings']))}"
            f"</p>{images}<table><tr><th>{'<th>'.join(keys)}</tr>\n{rows}"
            "</table>\n")
    return report
