"""Callers that record their requests and the answers in a journal."""

import http.client
import itertools
import select
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import xxhash

from fuchsiascale.api import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    IDEMPOTENT_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
    TEAM_HEADER,
    URGENCY_HEADER,
)
from fuchsiascale.ids import IdempotencyKey, RequestId
from fuchsiascale.states import Outcome
from standins._journal import Event, Journal
from standins._server import parse_endpoint

__all__ = ["CallResult", "Callers", "JsonAnswer", "Load", "Operation", "call_json"]

CALL_TIMEOUT_S = 10.0
DEFAULT_DEADLINE_MS = 2_000
NO_ANSWER = "no-answer"
NOT_SENT = "not-sent"


class Operation(msgspec.Struct, frozen=True, kw_only=True):
    """One operation that a caller requests, identified by its body.

    Parameters
    ----------
    name : str
        Unique name.
    service_ms : float
        Service time that the body requests from the runner, in milliseconds.
    padding : int
        Number of padding bytes in the body.
    """

    name: str
    method: str = "POST"
    key: IdempotencyKey = IdempotencyKey("")
    idempotent: bool = False
    urgency: str = ""
    service_ms: float | None = None
    padding: int = 0

    def encode_body(self):
        """Return the body of the request, which the runner echoes."""
        script = {"name": self.name, "padding": "x" * self.padding}
        if self.service_ms is not None:
            script["service_ms"] = self.service_ms
        return msgspec.json.encode(script)


class CallResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one request as its caller sees it.

    Parameters
    ----------
    outcome : str
        Outcome according to the daemon; ``no-answer`` if the connection was lost, and
        ``not-sent`` if none could be opened.
    """

    request: RequestId
    outcome: str
    status: int = 0
    reason: str = ""
    body: bytes = b""
    elapsed_s: float = 0.0

    @property
    def done(self):
        """Whether the operation was done."""
        return self.outcome == Outcome.DONE.value


class JsonAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Status and body of a JSON call."""

    status: int
    body: bytes

    def decode(self, message_type):
        """Return the body as a message."""
        return msgspec.json.decode(self.body, type=message_type)


def call_json(address, method, path, message=None, token="", team=""):
    """Make one JSON call and return its answer.

    Parameters
    ----------
    address : str
        The listener's ``host:port``.
    method, path : str
        Method and path of the call.
    message : Message, optional
        Message to send as the body.
    token, team : str, optional
        Bearer token, and name of the team.

    Returns
    -------
    JsonAnswer
        The answer, of any status.

    Raises
    ------
    OSError, http.client.HTTPException
        If no complete answer was received.
    """
    headers = {"Content-Type": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    if team:
        headers[TEAM_HEADER] = team
    body = None if message is None else msgspec.json.encode(message)
    connection = http.client.HTTPConnection(
        *parse_endpoint(address), timeout=CALL_TIMEOUT_S
    )
    try:
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        return JsonAnswer(status=answer.status, body=answer.read())
    finally:
        connection.close()


def open_connection(connection):
    """Connect, unless an open connection can be reused.

    An idle connection that is readable was closed by the peer.
    """
    if connection.sock is not None:
        readable, _, _ = select.select([connection.sock], [], [], 0)
        if not readable:
            return
        connection.close()
    connection.connect()


class Callers:
    """Sends requests to one service and records them in a journal.

    Parameters
    ----------
    journal : str or Path
        File that receives the requests and the answers.
    service, team : str
        Service to call, and the calling team.
    """

    def __init__(self, journal, service, team):
        self._journal = Journal(str(journal), "callers")
        self._service = service
        self._team = team
        self._numbers = itertools.count(1)

    def close(self):
        """Close the journal."""
        self._journal.close()

    def send(
        self,
        address,
        operation,
        deadline_ms=DEFAULT_DEADLINE_MS,
        connection=None,
        request=None,
    ):
        """Send an operation once, under a new request id unless one is given.

        Parameters
        ----------
        address : str
            The caller listener's ``host:port``.
        operation : Operation
            What to send.
        deadline_ms : int, optional
            Deadline, in milliseconds.
        connection : http.client.HTTPConnection, optional
            Connection to use, which stays open.
        request : RequestId, optional
            Request id to use.

        Returns
        -------
        CallResult
            The result.
        """
        request = request or RequestId(f"q{next(self._numbers)}-{operation.name}")
        body = operation.encode_body()
        self._journal.record(
            Event.SENT,
            request=request,
            idempotency_key=operation.key,
            idempotent=operation.idempotent,
            method=operation.method,
            body_digest=xxhash.xxh3_64_hexdigest(body),
            about=address,
        )
        began_s = time.monotonic()
        digest = xxhash.xxh3_64_hexdigest(body)
        own = connection or http.client.HTTPConnection(
            *parse_endpoint(address), timeout=CALL_TIMEOUT_S
        )
        try:
            result = self._exchange(own, request, operation, body, deadline_ms)
        finally:
            if connection is None:
                own.close()
        elapsed_s = time.monotonic() - began_s
        self._record(result, digest)
        return msgspec.structs.replace(result, elapsed_s=elapsed_s)

    def _exchange(self, connection, request, operation, body, deadline_ms):
        path = f"/v1/services/{self._service}/{operation.name}"
        headers = self._build_headers(request, operation, deadline_ms)
        try:
            open_connection(connection)
        except OSError:
            return CallResult(request=request, outcome=NOT_SENT)
        try:
            connection.request(operation.method, path, body=body, headers=headers)
            answer = connection.getresponse()
            received = answer.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return CallResult(request=request, outcome=NO_ANSWER)
        return CallResult(
            request=RequestId(answer.headers.get(REQUEST_ID_HEADER, request)),
            outcome=answer.headers.get(OUTCOME_HEADER, NO_ANSWER),
            status=answer.status,
            reason=answer.headers.get(REASON_HEADER, ""),
            body=received,
        )

    def _build_headers(self, request, operation, deadline_ms):
        headers = {
            "Content-Type": "application/json",
            REQUEST_ID_HEADER: request,
            TEAM_HEADER: self._team,
            DEADLINE_HEADER: str(deadline_ms),
            IDEMPOTENT_HEADER: "true" if operation.idempotent else "false",
        }
        if operation.key:
            headers[IDEMPOTENCY_KEY_HEADER] = operation.key
        if operation.urgency:
            headers[URGENCY_HEADER] = operation.urgency
        return headers

    def _record(self, result, sent_digest):
        self._journal.record(
            Event.RECEIVED,
            request=result.request,
            outcome=result.outcome,
            status=result.status,
            sent_digest=sent_digest,
            body_digest=xxhash.xxh3_64_hexdigest(result.body),
            detail=result.reason,
        )


class Load:
    """Sends operations from several threads to instances in turn.

    Parameters
    ----------
    callers : Callers
        Sender of the operations.
    addresses : list of str
        Caller listeners.
    make_operation : callable
        Takes a number and returns an Operation.
    threads : int
        Number of concurrent requests.
    keep_alive : bool
        Whether each thread keeps its connection to each instance open.
    """

    def __init__(self, callers, addresses, make_operation, threads=4, keep_alive=False):
        self._callers = callers
        self._addresses = list(addresses)
        self._make_operation = make_operation
        self._threads = threads
        self._keep_alive = keep_alive
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(threads)
        self._futures = []

    def start(self):
        """Start sending."""
        self._futures = [self._pool.submit(self._run) for _ in range(self._threads)]

    def stop(self):
        """Stop sending, wait for the answers and return all results."""
        self._stopped.set()
        results = [result for future in self._futures for result in future.result()]
        self._pool.shutdown()
        return results

    def _run(self):
        results = []
        connections = {}
        while not self._stopped.is_set():
            number = next(self._numbers)
            address = self._addresses[number % len(self._addresses)]
            if self._keep_alive and address not in connections:
                connections[address] = http.client.HTTPConnection(
                    *parse_endpoint(address), timeout=CALL_TIMEOUT_S
                )
            operation = self._make_operation(number)
            connection = connections.get(address)
            result = self._callers.send(address, operation, connection=connection)
            results.append(result)
            if not result.done:
                self._stopped.wait(0.02)
        for connection in connections.values():
            connection.close()
        return results
