"""Remembers which tasks found no room, so that no worker is sought for larger ones.

Load pattern: more jobs than the workers can run. Each declares other sizes, so that
several hundred waiting steps would each look at every worker in every round.
"""

__all__ = ["FullKinds"]

MAX_NEEDS = 8
"""Needs that are remembered for one kind of task; the latest are kept."""
MAX_KINDS = 1_000
"""Kinds of task that are remembered."""


class FullKinds:
    """Needs for which no worker had room, by kind of task.

    Examples
    --------
    >>> from fuchsiascale.jobs import Resources, StepSpec
    >>> full = FullKinds()
    >>> full.mark(StepSpec(count=1, need=Resources(cpu_millis=900)), until_s=1.0)
    >>> full.includes(StepSpec(count=1, need=Resources(cpu_millis=1_000)), now_s=1.0)
    True
    >>> full.includes(StepSpec(count=1, need=Resources(cpu_millis=800)), now_s=1.0)
    False
    >>> full.includes(StepSpec(count=1, need=Resources(cpu_millis=1_000)), now_s=1.1)
    False
    """

    def __init__(self):
        self._needs = {}

    def mark(self, spec, until_s):
        """Note that no worker has room for a task of a step, until a time."""
        kind = _classify(spec)
        needs = self._needs.setdefault(kind, [])
        needs.append((spec.need, until_s))
        del needs[:-MAX_NEEDS]
        if len(self._needs) > MAX_KINDS:
            del self._needs[next(iter(self._needs))]

    def includes(self, spec, now_s):
        """Return whether a task of a step needs as much as one without room."""
        needs = self._needs.get(_classify(spec), ())
        return any(
            now_s <= until_s and _is_as_large(spec.need, need)
            for need, until_s in needs
        )


def _classify(spec):
    """Return what besides its need decides which workers have room for a task."""
    return spec.fills, spec.image if spec.fills else "", spec.required_label


def _is_as_large(need, other):
    return (
        need.cpu_millis >= other.cpu_millis
        and need.memory_mb >= other.memory_mb
        and need.accelerators >= other.accelerators
    )
