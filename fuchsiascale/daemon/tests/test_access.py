"""Tests of tokens and TLS on loopback listeners."""

import datetime
import ipaddress
import tempfile
from pathlib import Path

import aiohttp
from aiohttp import web
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from fuchsiascale.coordination import Fleet, TeamSettings
from fuchsiascale.daemon._access import (
    OPERATOR_KEY,
    Access,
    build_client_context,
    build_server_context,
    hash_token,
    require_operator_token,
    require_peer_token,
)
from fuchsiascale.daemon._settings import AccessSettings, OperatorToken, TlsFiles
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

LOOPBACK = "127.0.0.1"


@fixture
def access():
    operators = tuple(
        OperatorToken(team=team, sha256=hash_token(token))
        for team, token in (("admin", "root-token"), ("hub", "hub-token"))
    )
    settings = AccessSettings(peer_token="peers", admin="admin", operators=operators)
    ledger = TeamSettings(team="ledger", token_sha256=hash_token("ledger-token"))
    usurper = TeamSettings(team="admin", token_sha256=hash_token("usurper-token"))
    fleet = Fleet(teams={"ledger": ledger, "admin": usurper})
    yield Access(settings, lambda: fleet)


@fixture
def tls():
    """Yield TLS files whose certificate is its own authority."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "entry")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address(LOOPBACK))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(hours=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder)
        pem = serialization.Encoding.PEM
        (path / "entry.pem").write_bytes(certificate.public_bytes(pem))
        (path / "entry.key").write_bytes(
            key.private_bytes(
                pem,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        certificate_file = str(path / "entry.pem")
        yield TlsFiles(
            certificate=certificate_file,
            key=str(path / "entry.key"),
            authority=certificate_file,
        )


async def get_status(middlewares, authorization="", server=None, client=None):
    """Return the status and body with which a listener answers a call."""

    async def handle(request):
        operator = request.get(OPERATOR_KEY)
        return web.Response(text=operator.team if operator else "passed")

    application = web.Application(middlewares=middlewares)
    application.router.add_get("/", handle)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, 0, ssl_context=build_server_context(server))
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    scheme = "https" if server else "http"
    context = build_client_context(client)
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(
                f"{scheme}://{LOOPBACK}:{port}/",
                headers={"Authorization": authorization},
                ssl=True if context is None else context,
            ) as response,
        ):
            return response.status, await response.text()
    finally:
        await runner.cleanup()


async def test_calls_without_the_right_token_are_refused_and_counted(access):
    counted = []
    peer = [require_peer_token(access, counted.append)]
    operator = [require_operator_token(access, counted.append)]
    table = (
        (peer, "Bearer peers", 200, "passed"),
        (peer, "", 401, "peer token"),
        (peer, "Bearer root-token", 401, "peer token"),
        (peer, "peers", 401, "peer token"),
        (operator, "Bearer hub-token", 200, "hub"),
        (operator, "Bearer ledger-token", 200, "ledger"),
        (operator, "Bearer usurper-token", 401, "operator token"),
        (operator, "Bearer peers", 401, "operator token"),
        (operator, "Bearer ", 401, "operator token"),
    )
    for middlewares, authorization, status, named in table:
        found = await get_status(middlewares, authorization)
        assert found[0] == status, authorization
        assert named in found[1], authorization
    assert counted == ["peer"] * 3 + ["operator"] * 3


def test_only_the_admin_team_may_edit_all(access):
    assert access.identify("Bearer root-token").admin
    assert not access.identify("Bearer hub-token").admin


def test_a_call_acts_only_for_the_team_of_its_token(access):
    assert access.can_act_for("hub", "Bearer hub-token")
    assert access.can_act_for("hub", "Bearer root-token")
    assert access.can_act_for("open", "")
    assert not access.can_act_for("hub", "Bearer ledger-token")
    assert not access.can_act_for("hub", "")
    assert not access.can_act_for("open", "Bearer unknown")


async def test_listener_and_client_check_each_other_by_tls(tls):
    assert await get_status([], server=tls, client=tls) == (200, "passed")


async def test_a_client_without_a_certificate_is_refused(tls):
    try:
        await get_status([], server=tls, client=TlsFiles(authority=tls.authority))
    except (aiohttp.ClientError, OSError):
        return
    raise AssertionError("the listener accepted a client without a certificate")


async def test_a_listener_of_unknown_authority_is_refused(tls):
    server = TlsFiles(certificate=tls.certificate, key=tls.key)
    try:
        await get_status([], server=server)
    except aiohttp.ClientConnectorCertificateError:
        return
    raise AssertionError("the client accepted a certificate of unknown authority")
