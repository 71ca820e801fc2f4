"""The figures that staff and their tools read: plain counts, bumped where each thing ends."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

_PREFIX = "edge_node"
_RESULTS = ("ok", "shed", "errors")


class Metrics:
    """Counts since the start of the process."""

    def __init__(self, classes: Sequence[str]) -> None:
        self._classes = [_escaped(name) for name in classes]
        self._answers = [dict.fromkeys(_RESULTS, 0) for _ in classes]
        self._tries = 0

    def answered(self, class_index: int, status: int) -> None:
        """A request's final answer went out."""
        result = "ok" if status == 200 else "shed" if status in (429, 503) else "errors"
        self._answers[class_index][result] += 1

    def attempt_written(self) -> None:
        """An attempt was written to a server, to its last byte."""
        self._tries += 1

    def render(
        self, *, active: int, pool_size: int, pool_ejected: int, more: Mapping[str, float] | None = None
    ) -> bytes:
        """All figures, one a line; more: of parts that are on, by name and labels."""
        lines = [
            f'{_PREFIX}_responses{{kind="{name}",result="{result}"}} {answers[result]}'
            for name, answers in zip(self._classes, self._answers, strict=True)
            for result in _RESULTS
        ]
        lines += [
            f"{_PREFIX}_tries {self._tries}",
            f"{_PREFIX}_active {active}",
            f"{_PREFIX}_pool_size {pool_size}",
            f"{_PREFIX}_pool_ejected {pool_ejected}",
        ]
        lines += [f"{_PREFIX}_{name} {value}" for name, value in (more or {}).items()]
        return "".join(f"{line}\n" for line in lines).encode()


def _escaped(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
