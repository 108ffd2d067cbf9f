"""The capacity page: worked out from the measured file by command, and held against it."""

import json
import re
import shutil

import pytest
from click.testing import CliRunner

import limepath.cli
from limepath.cli import scale
from limepath.cli.scale import command
from limepath.scale.estimates import Provenance, estimate, total
from limepath.scale.measured import Series

FILE, PAGE, RUNS = "docs/measurements/scale.json", "docs/CAPACITY.md", "docs/measurements/scale"


@pytest.fixture
def site(tmp_path, monkeypatch):
    """A copy of the committed file and page, in a folder of their own."""
    for path in (FILE, PAGE):
        (tmp_path / path).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(path, tmp_path / path)
    if (runs := tmp_path.cwd() / RUNS).is_dir():
        shutil.copytree(runs, tmp_path / RUNS)
    monkeypatch.chdir(tmp_path)
    return tmp_path


def run(*words):
    return CliRunner().invoke(command, words)


def held(site):
    return {path: path.read_bytes() for path in site.rglob("*") if path.is_file()}


def changed(site, change):
    """Change the measured file's object in place."""
    told = json.loads((site / FILE).read_text())
    change(told)
    (site / FILE).write_text(json.dumps(told))


def first_series(told, role):
    return told["roles"][role]["found"]["series"][0]


def test_the_committed_page_is_what_the_committed_file_gives():
    result = run("check")
    assert result.exit_code == 0, result.output


def test_the_page_is_written_anew_by_command_only(site):
    (site / PAGE).unlink()
    assert run("check").exit_code == 1
    assert run("check", "--write").exit_code == 0
    assert run("check").exit_code == 0


def test_a_changed_figure_in_the_page_is_named(site):
    lines = (site / PAGE).read_text().splitlines()
    at = next(at for at, line in enumerate(lines) if re.search(r"\| \d+ .*measured", line))
    lines[at] = re.sub(r"\| \d+ ", "| 77777 ", lines[at], count=1)
    (site / PAGE).write_text("\n".join(lines) + "\n")
    result = run("check")
    assert result.exit_code == 1
    assert f"line {at + 1} differs" in result.output and "77777" in result.output


def test_a_line_more_or_less_in_the_page_is_named(site):
    whole = (site / PAGE).read_text()
    (site / PAGE).write_text(whole + "more\n")
    assert run("check").exit_code == 1
    (site / PAGE).write_text(whole.rsplit("\n", 2)[0] + "\n")
    assert "nothing" in run("check").output


def test_a_changed_figure_in_the_file_is_named(site):
    def change(told):
        points = first_series(told, "decision")["points"]
        points[-1][1] *= 3

    changed(site, change)
    result = run("check")
    assert result.exit_code == 1 and "differs" in result.output


@pytest.mark.parametrize(
    "damage",
    [
        lambda path: path.unlink(),
        lambda path: path.write_text("{"),
        lambda path: path.write_text("[]"),
        lambda path: path.write_bytes(b"\xff\xfe"),
        lambda path: path.write_bytes(path.read_bytes()[:-200]),
        lambda path: path.write_text(path.read_text().replace('"format": 1', '"format": 2')),
        lambda path: path.write_text(path.read_text().replace('"unit"', '"unity"')),
    ],
)
def test_a_missing_or_damaged_file_ends_with_status_2_and_one_line(site, damage):
    damage(site / FILE)
    before = held(site)
    for words in (("check",), ("check", "--write")):
        result = run(*words)
        assert result.exit_code == 2
        assert result.output.startswith("limepath: ") and result.output.count("\n") == 1
    assert held(site) == before


@pytest.mark.parametrize("bad", [-1.0, -5, "many", None])
def test_a_figure_that_cannot_be_is_refused(site, bad):
    def change(told):
        first_series(told, "decision")["points"][0][1] = bad

    changed(site, change)
    before = held(site)
    assert run("check", "--write").exit_code == 2
    assert held(site) == before


def test_a_size_told_twice_is_refused(site):
    def change(told):
        points = first_series(told, "decision")["points"]
        points[1][0] = points[0][0]

    changed(site, change)
    assert run("check").exit_code == 2


def test_measuring_into_a_damaged_file_begins_nothing(site):
    (site / FILE).write_text("{")
    before = held(site)
    assert run("measure", "--role", "listing").exit_code == 2
    assert held(site) == before


def test_an_unknown_role_is_refused(site):
    before = held(site)
    result = run("measure", "--role", "nobody")
    assert result.exit_code == 2 and "unknown role" in result.output
    assert held(site) == before


def test_a_damaged_scale_run_ends_with_status_2(site):
    (site / RUNS).mkdir(exist_ok=True)
    (site / RUNS / "bad.json").write_text('{"rows": 3}')
    result = run("check")
    assert result.exit_code == 2 and "bad.json" in result.output


def test_a_saved_scale_run_stands_in_the_page(site):
    (site / RUNS).mkdir(exist_ok=True)
    told = {
        "rows": [{"what": "a bound of ours", "measured": 9, "bound": 3, "holds": False}],
        "sizes": {"fronts": 123},
        "use": {"calm": {"all": {"sent_bytes": {"all": {"median": 1.0, "99%": 2.0, "worst": 31_000.0}}}}},
    }
    (site / RUNS / "run.json").write_text(json.dumps(told))
    assert run("check").exit_code == 1
    assert run("check", "--write").exit_code == 0
    page = (site / PAGE).read_text()
    assert "run.json" in page and "a bound of ours" in page and "| 31 |" in page


def test_fewer_than_five_sizes_give_no_slope(site):
    def change(told):
        series = first_series(told, "decision")
        series["points"] = series["points"][:4]

    changed(site, change)
    assert run("check", "--write").exit_code == 0
    assert "4 sizes; a slope wants 5 at least" in (site / PAGE).read_text()


def test_a_prediction_off_by_over_a_fifth_is_told(site):
    def change(told):
        points = first_series(told, "decision")["points"]
        points[-1][1] *= 4

    changed(site, change)
    assert run("check", "--write").exit_code == 0
    row = next(
        line
        for line in (site / PAGE).read_text().splitlines()
        if line.startswith("| decision | a decision | caches")
    )
    assert "**the model is wrong**" in row


def test_every_figure_bears_one_of_four_words(site):
    page = (site / PAGE).read_text()
    calm = page.partition("## A calm hour")[2].partition("## What a request costs")[0]
    heads = [line for line in calm.splitlines() if line.startswith(("| cost ", "| role "))]
    assert heads
    words = {word.value for word in Provenance}
    column = 0
    for line in calm.splitlines():
        cells = [cell.strip().strip("*") for cell in line.strip("| ").split(" | ")]
        if line.startswith(("| cost ", "| role ")):
            column = cells.index("word")
        elif line.startswith("| ") and "---" not in line:
            assert cells[column] in words, line


# The group of commands


@pytest.mark.parametrize("name", ["run", "command"])
def test_run_comes_from_a_file_of_its_own(tmp_path, monkeypatch, name):
    text = f"import click\n@click.command('run')\ndef {name}():\n    click.echo('ran')\n"
    (tmp_path / f"stand_in_{name}.py").write_text(text)
    monkeypatch.setattr(limepath.cli, "__path__", [*limepath.cli.__path__, str(tmp_path)])
    monkeypatch.setattr(scale, "RUN", f"limepath.cli.stand_in_{name}")
    assert "run" in run("--help").output
    assert run("run").output == "ran\n"


def test_the_group_works_without_that_file(monkeypatch):
    monkeypatch.setattr(scale, "RUN", "limepath.cli.no_such_file")
    result = run("--help")
    assert result.exit_code == 0 and "measure" in result.output and "  run " not in result.output
    assert run("run").exit_code == 2


# Estimates


def series(points, unit="us"):
    return Series("x", "a cost", unit, "members", tuple(points), "real logic")


LINE = [(size, 10.0 + size) for size in (10, 20, 40, 80, 160)]


def test_within_the_sizes_a_figure_is_measured():
    told = estimate(series(LINE), 120)
    assert (told.value, told.provenance, told.factor) == (130.0, Provenance.MEASURED, 1.0)
    assert estimate(series(LINE), 160).value == 170.0


def test_beyond_the_sizes_it_is_extrapolated_with_its_factor():
    told = estimate(series(LINE), 1600)
    assert told.provenance is Provenance.EXTRAPOLATED and told.factor == 10
    assert told.value == pytest.approx(1610)


def test_with_a_wrong_model_it_is_assumed_in_proportion():
    told = estimate(series([*LINE[:4], (160, 400.0)]), 1600)
    assert told.provenance is Provenance.ASSUMED and told.slope.wrong
    assert told.value == 4000 and "the model is wrong" in told.reason


def test_with_too_few_sizes_it_is_assumed_in_proportion():
    told = estimate(series(LINE[:4]), 800)
    assert told.provenance is Provenance.ASSUMED and told.slope is None
    assert told.value == 900


def test_what_was_not_measured_is_missing():
    told = estimate(None, 5)
    assert told.value is None and told.provenance is Provenance.MISSING


def test_below_the_sizes_the_fit_is_used_while_it_gives_no_more():
    told = estimate(series(LINE), 5)
    assert told.provenance is Provenance.EXTRAPOLATED and told.value == pytest.approx(15)
    wrong = estimate(series([*LINE[:4], (160, 400.0)]), 5)
    assert wrong.provenance is Provenance.ASSUMED and wrong.value == 20


def test_a_sum_is_trusted_as_its_least_trusted_part():
    measured, beyond = estimate(series(LINE), 120), estimate(series(LINE), 1600)
    whole = total([measured, beyond], "us")
    assert whole.provenance is Provenance.EXTRAPOLATED and whole.value == measured.value + beyond.value
    partly = total([measured, estimate(None, 5)], "us")
    assert partly.value == measured.value and "without what is not measured" in partly.reason
    assert total([estimate(None, 5)], "us").provenance is Provenance.MISSING


def test_what_is_worked_out_of_a_measured_figure_is_assumed():
    measured = estimate(series(LINE), 120)
    assert measured.times(0.001, "ms").provenance is Provenance.MEASURED
    assert measured.times(40, "us", "40 of them").provenance is Provenance.ASSUMED
