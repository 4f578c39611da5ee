"""TLS by the standard library's ssl: contexts from files, who a peer is, and until when its certificate holds."""

import ssl
import time
from pathlib import Path

import trio

PROTOCOLS = ["h2"]


class TlsFault(ValueError):
    """Keys that cannot be used; the text says which and why."""


def _loaded(context: ssl.SSLContext, cert: Path, key: Path, authority: Path) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(PROTOCOLS)
    for path, what in ((cert, "certificate"), (key, "key"), (authority, "authority")):
        if not path.is_file():
            raise TlsFault(f"{path}: no such {what} file")
    try:
        context.load_cert_chain(cert, key)
    except (ssl.SSLError, OSError) as error:
        raise TlsFault(f"{cert}, {key}: not a certificate and its key: {error}") from None
    try:
        context.load_verify_locations(authority)
    except (ssl.SSLError, OSError) as error:
        raise TlsFault(f"{authority}: no certificates of an authority: {error}") from None
    return context


def serving(cert: Path, key: Path, clients: Path) -> ssl.SSLContext:
    """For a server that asks each client for a certificate of the authority in `clients`. Raises TlsFault."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _loaded(context, cert, key, clients)


def dialling(cert: Path, key: Path, servers: Path) -> ssl.SSLContext:
    """For a client with a certificate of its own. Raises TlsFault."""
    return _loaded(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT), cert, key, servers)


def _certificate(stream: trio.SSLStream[trio.SocketStream]) -> dict[str, object]:
    found: dict[str, object] = stream.getpeercert() or {}
    return found


def identity(stream: trio.SSLStream[trio.SocketStream]) -> str:
    """The peer's name: the first DNS name or URI of its certificate, else its common name, else nothing."""
    certificate = _certificate(stream)
    alternatives = certificate.get("subjectAltName", ())
    for kind, value in alternatives:  # type: ignore[attr-defined]
        if kind in ("DNS", "URI"):
            return str(value)
    subject = certificate.get("subject", ())
    for part in subject:  # type: ignore[attr-defined]
        for key, value in part:
            if key == "commonName":
                return str(value)
    return ""


def lasts(stream: trio.SSLStream[trio.SocketStream]) -> float:
    """Seconds for which the peer's certificate still holds, by the wall clock."""
    return ssl.cert_time_to_seconds(str(_certificate(stream)["notAfter"])) - time.time()
