"""TLS by the standard library's ssl: contexts from files, peers' identities and their expiry."""

import ssl
import time
from pathlib import Path

import trio

from dunlinlug.errors import DunlinlugError

ALPN_PROTOCOLS = ["h2"]


class TlsConfigError(DunlinlugError, ValueError):
    """A certificate or key file that cannot be used; the text says which and why."""


def _configure(context: ssl.SSLContext, cert: Path, key: Path, authority: Path) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(ALPN_PROTOCOLS)
    for path, description in ((cert, "certificate"), (key, "key"), (authority, "authority")):
        if not path.is_file():
            raise TlsConfigError(f"{path}: no such {description} file")
    try:
        context.load_cert_chain(cert, key)
    except (ssl.SSLError, OSError) as error:
        raise TlsConfigError(f"{cert}, {key}: not a certificate and its key: {error}") from None
    try:
        context.load_verify_locations(authority)
    except (ssl.SSLError, OSError) as error:
        raise TlsConfigError(f"{authority}: no certificates of an authority: {error}") from None
    return context


def server_context(cert: Path, key: Path, clients: Path) -> ssl.SSLContext:
    """A context for a server; each client must have a certificate of the authority in `clients`.

    Raises:
        TlsConfigError: A file cannot be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _configure(context, cert, key, clients)


def client_context(cert: Path, key: Path, servers: Path) -> ssl.SSLContext:
    """A context for a client with a certificate of its own.

    Raises:
        TlsConfigError: A file cannot be used.
    """
    return _configure(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT), cert, key, servers)


def _peer_certificate(stream: trio.SSLStream[trio.SocketStream]) -> dict[str, object]:
    certificate: dict[str, object] = stream.getpeercert() or {}
    return certificate


def peer_identity(stream: trio.SSLStream[trio.SocketStream]) -> str:
    """The peer's name: the first DNS name or URI of its certificate, or its common name, or ""."""
    certificate = _peer_certificate(stream)
    alternatives = certificate.get("subjectAltName", ())
    for kind, value in alternatives:  # type: ignore[attr-defined]
        if kind in ("DNS", "URI"):
            return str(value)
    subject = certificate.get("subject", ())
    for relative_name in subject:  # type: ignore[attr-defined]
        for key, value in relative_name:
            if key == "commonName":
                return str(value)
    return ""


def remaining_validity(stream: trio.SSLStream[trio.SocketStream]) -> float:
    """Seconds until the peer's certificate expires, by the wall clock; negative after that."""
    return ssl.cert_time_to_seconds(str(_peer_certificate(stream)["notAfter"])) - time.time()
