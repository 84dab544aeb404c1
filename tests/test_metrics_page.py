import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent


def metric_names_in_code():
    names = set()
    for path in (ROOT / "src").rglob("*.py"):
        text = path.read_text(encoding="utf-8")
        names.update(re.findall(r"\.(?:count|gauge)\(\s*\"([a-z_]+)\"", text))
    return names


def test_each_metric_is_documented():
    page = (ROOT / "docs/operators.md").read_text(encoding="utf-8")
    documented = set(re.findall(r"`([a-z_]+)`", page.partition("## Metrics")[2]))
    assert metric_names_in_code()
    assert metric_names_in_code() <= documented
