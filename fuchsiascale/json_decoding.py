"""Decoding of JSON from other processes, whatever it holds."""

import msgspec
from returns.result import Failure, Result, Success

__all__ = ["decode_json"]


def decode_json(content, kind) -> Result:
    """Decode JSON into a type.

    Parameters
    ----------
    content : bytes
        The encoded value.
    kind : type
        The type that `msgspec` decodes into.

    Returns
    -------
    Result
        The value, or the reason why the content is not one of that type: invalid
        JSON or UTF-8, a field that is missing or of another type or range, or a nesting
        deeper than the decoder follows, also in fields that are skipped.

    Examples
    --------
    >>> decode_json(b"[1, 2]", list[int]).unwrap()
    [1, 2]
    >>> decode_json(b"[" * 100_000, list).failure()
    'nested too deeply'
    """
    try:
        return Success(msgspec.json.decode(content, type=kind))
    except RecursionError:
        return Failure("nested too deeply")
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
