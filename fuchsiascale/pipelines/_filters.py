"""Registry of the filters, filled by a decorator."""

__all__ = ["FILTERS", "register_filter"]

FILTERS = {}


def register_filter(name):
    """Return a decorator that registers a filter under a name.

    Parameters
    ----------
    name : str
        Name by which the pipelines list the filter.

    Returns
    -------
    callable
        The decorator; it returns the filter unchanged.

    Raises
    ------
    ValueError
        If the name is taken.
    """

    def register(function):
        if name in FILTERS:
            raise ValueError(f"filter {name} is registered twice")
        FILTERS[name] = function
        return function

    return register
