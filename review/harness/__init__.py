"""Stand-ins and processes for the scripts of the review."""

from review.harness._clients import Client
from review.harness._nodes import Node, Nodes
from review.harness._record import Record
from review.harness._runner import Runner
from review.harness._site import Site, find_ports
from review.harness._verdict import HAS_TROUBLE, find_repeated_runs, run_case

__all__ = [
    "HAS_TROUBLE",
    "Client",
    "Node",
    "Nodes",
    "Record",
    "Runner",
    "Site",
    "find_ports",
    "find_repeated_runs",
    "run_case",
]
