"""A failed scenario leaves what its processes said."""

from pathlib import Path

from tests.scenarios.conftest import last_lines, single_errors


def test_the_last_lines_of_each_process_are_kept(tmp_path: Path) -> None:
    (tmp_path / "run").mkdir()
    (tmp_path / "run" / "proxies.err").write_text("\n".join(f"line {n}" for n in range(9)))
    (tmp_path / "run" / "manager.log").write_text('{"event": "ready"}\n')
    (tmp_path / "run" / "all.jsonl").write_text("a record\n")
    text = last_lines(tmp_path)
    assert "run/proxies.err:" in text and "line 8" in text and "line 4" not in text
    assert '{"event": "ready"}' in text and "a record" not in text


def test_the_errors_within_groups_are_named() -> None:
    inner, other = ValueError("inner"), KeyError("other")
    group = ExceptionGroup("outer", [ExceptionGroup("nested", [inner]), other])
    assert single_errors(group) == [inner, other]
