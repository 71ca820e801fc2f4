"""The metrics of a node in text form, for operators and their tools."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

_PREFIX = "edge_node"
_RESULTS = ("ok", "shed", "errors")


class Metrics:
    """Counters since the start of the process.

    classes: the names of the request classes, in the order of their indices.
    """

    def __init__(self, classes: Sequence[str]) -> None:
        self._classes = [_escaped(name) for name in classes]
        self._responses = [dict.fromkeys(_RESULTS, 0) for _ in classes]
        self._attempts = 0

    def answered(self, class_index: int, status: int) -> None:
        """Count the final response of a request."""
        result = "ok" if status == 200 else "shed" if status in (429, 503) else "errors"
        self._responses[class_index][result] += 1

    def attempt_written(self) -> None:
        """Count an attempt whose request was written completely."""
        self._attempts += 1

    def render(
        self, *, active: int, pool_size: int, pool_ejected: int, more: Mapping[str, float] | None = None
    ) -> bytes:
        """Return all metrics, one per line.

        more: the metrics of optional components, by name and labels.
        """
        lines = [
            f'{_PREFIX}_responses{{kind="{name}",result="{result}"}} {counts[result]}'
            for name, counts in zip(self._classes, self._responses, strict=True)
            for result in _RESULTS
        ]
        lines += [
            f"{_PREFIX}_tries {self._attempts}",
            f"{_PREFIX}_active {active}",
            f"{_PREFIX}_pool_size {pool_size}",
            f"{_PREFIX}_pool_ejected {pool_ejected}",
        ]
        lines += [f"{_PREFIX}_{name} {value}" for name, value in (more or {}).items()]
        return "".join(f"{line}\n" for line in lines).encode()


def _escaped(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
