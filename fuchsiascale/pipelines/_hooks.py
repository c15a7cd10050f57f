"""What the pipeline tells meters and traces; these do nothing."""

__all__ = ["NoMeters", "NoTraces"]


class NoMeters:
    """Counts nothing."""

    def finish_call(self, call, answer, seconds):
        """Count one ended request and its latency in seconds."""

    def count_retry(self, service):
        """Count one more send of a request."""

    def count_claim(self, outcome):
        """Count one claim of a key by what came of it."""

    def count_region_bytes(self, region, amount):
        """Count bytes exchanged with another region."""


class NoTraces:
    """Records no spans, and passes a caller's context on."""

    def enter(self, call):
        """Return the span of a sampled request's hop into this instance."""
        return

    def leave(self, span, call, answer):
        """End the span of a request."""

    def start_send(self, span, call, target):
        """Return the span of a hop out, or None."""
        return

    def end_send(self, span, answer):
        """End the span of a hop out."""

    def format_parent(self, span, call):
        """Return the traceparent header to send on; empty for none."""
        return call.headers.trace_parent
