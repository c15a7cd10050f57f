"""Hooks for metrics and traces, as implementations that do nothing."""

__all__ = ["NoMeters", "NoTraces"]


class NoMeters:
    """Counts nothing."""

    def finish_call(self, call, answer, seconds):
        """Count one ended request and its latency in seconds."""

    def count_retry(self, service):
        """Count one retry of a request."""

    def count_claim(self, outcome):
        """Count one claim of a key by its outcome."""

    def count_region_bytes(self, region, amount):
        """Count bytes exchanged with another region."""


class NoTraces:
    """Records no spans and propagates the caller's trace context."""

    def start_request(self, call):
        """Return the span of a sampled request at this instance, or None."""
        return

    def end_request(self, span, call, answer):
        """End the span of a request."""

    def start_send(self, span, call, target):
        """Return the span of a send to a target, or None."""
        return

    def end_send(self, span, answer):
        """End the span of a send."""

    def format_parent(self, span, call):
        """Return the traceparent header to send, or an empty string."""
        return call.headers.trace_parent
