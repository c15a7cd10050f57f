"""Route tables of the three listeners, filled by the handler modules."""

from fuchsiascale.daemon._http import RouteTable

__all__ = ["CALLER_ROUTES", "OPERATOR_ROUTES", "PEER_ROUTES"]

CALLER_ROUTES = RouteTable()
PEER_ROUTES = RouteTable()
OPERATOR_ROUTES = RouteTable()
