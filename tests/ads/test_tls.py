"""TLS on ADS and LRS: identities, and invalid, reloaded and expired certificates."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
import trio
import trustme

from dunlinlug import rpc
from dunlinlug.net import grpc, tls
from dunlinlug.xds import load_reports, names
from tests.fixtures.manager_process import Peer, Running, has_tables, running, until


class Certificates:
    """Certificate files issued by a test CA."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.authority = folder, trustme.CA()
        self.authority.cert_pem.write_to_path(folder / "clients.pem")
        self.issue_server_certificate()

    def issue_server_certificate(self) -> None:
        issued = self.authority.issue_cert("127.0.0.1")
        issued.private_key_pem.write_to_path(self.folder / "manager.key")
        (self.folder / "manager.pem").write_bytes(
            b"".join(blob.bytes() for blob in issued.cert_chain_pems)
        )

    def client_context(
        self, name: str, authority: trustme.CA | None = None, lifetime: float = 3600.0
    ) -> object:
        """A TLS context with a certificate for `name`, by default from this CA."""
        expires_at = datetime.now(UTC) + timedelta(seconds=lifetime)
        issued = (authority or self.authority).issue_cert(name, not_after=expires_at)
        cert, key = self.folder / f"{name}.pem", self.folder / f"{name}.key"
        cert.write_bytes(b"".join(blob.bytes() for blob in issued.cert_chain_pems))
        issued.private_key_pem.write_to_path(key)
        return tls.client_context(cert, key, self.folder / "clients.pem")

    @property
    def section(self) -> tuple[str, str]:
        """A replacement in the manager's file that adds the [tls] section."""
        return "[roster]", (
            f"[tls]\ncert = {self.folder}/manager.pem\nkey = {self.folder}/manager.key\n"
            f"clients = {self.folder}/clients.pem\n\n[roster]"
        )


@asynccontextmanager
async def connect(run: Running, context: object, node: str) -> AsyncIterator[Peer]:
    async with grpc.connect(*run.address, tls_context=context) as connection:  # type: ignore[arg-type]
        yield Peer(connection, node)


async def call_end(call: grpc.Call) -> grpc.CallEndedError:
    with trio.fail_after(5.0), pytest.raises(grpc.CallEndedError) as error:
        while True:
            await call.receive()
    return error.value


async def test_a_node_name_must_match_its_certificate(tmp_path: Path) -> None:
    certificates = Certificates(tmp_path)
    async with running(tmp_path, certificates.section) as run:
        context = certificates.client_context("p0.proxies")
        async with (
            connect(run, context, "p0.proxies") as good,
            connect(run, context, "p1.proxies") as other,
        ):
            await good.until(has_tables)
            end = await call_end(other.call)
            assert end.status == rpc.Status.PERMISSION_DENIED and "p0.proxies" in end.reason
            report = other.link.start_call(names.LRS_METHOD)
            report.send(
                load_reports.encode_report(
                    load_reports.LoadReport("p1.proxies", "north", 0.0), is_first=True
                )
            )
            assert (await call_end(report)).status == rpc.Status.PERMISSION_DENIED
        assert len(run.logged("proxy.connected")) == 1


async def test_a_peer_without_a_valid_certificate_is_rejected_and_others_are_still_served(
    tmp_path: Path,
) -> None:
    certificates = Certificates(tmp_path)
    async with (
        running(tmp_path, certificates.section) as run,
        connect(run, certificates.client_context("p0.proxies"), "p0.proxies") as good,
    ):
        await good.until(has_tables)
        for context in (
            certificates.client_context("p2.proxies", trustme.CA()),
            certificates.client_context("p3.proxies", lifetime=-60.0),
        ):
            with pytest.raises((OSError, grpc.CallEndedError, ExceptionGroup)):
                async with connect(run, context, "p2.proxies") as bad:
                    raise await call_end(bad.call)
        async with await trio.open_tcp_stream(*run.address) as plain:
            await plain.send_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
            with trio.fail_after(5.0):
                while await plain.receive_some():
                    pass
        await until(lambda: len(run.logged("proxy.authentication_failed")) >= 3)
        assert len(run.logged("proxy.connected")) == 1
        run.roster.update(w1="draining")
        await good.until(lambda state: len(state.usable_weights("press-book")) == 5)


async def test_a_reload_replaces_certificates_while_streams_stay_open(tmp_path: Path) -> None:
    certificates = Certificates(tmp_path)
    async with (
        running(tmp_path, certificates.section) as run,
        connect(run, certificates.client_context("p0.proxies"), "p0.proxies") as old,
    ):
        await old.until(has_tables)
        previous_authority = certificates.authority
        certificates.authority = trustme.CA()
        certificates.authority.cert_pem.write_to_path(tmp_path / "clients.pem")
        (tmp_path / "manager.key").write_text("not a key")
        run.manager.reloader.reload()
        assert "not a certificate and its key" in run.logged("reload.rejected")[-1]["why"]
        certificates.issue_server_certificate()
        run.manager.reloader.reload()
        assert run.logged("reload.done")
        async with connect(run, certificates.client_context("p1.proxies"), "p1.proxies") as new:
            await new.until(has_tables)
            with pytest.raises((OSError, grpc.CallEndedError, ExceptionGroup)):
                async with connect(
                    run, certificates.client_context("p2.proxies", previous_authority), "p2.proxies"
                ) as late:
                    raise await call_end(late.call)
            run.roster.update(w1="draining")
            for proxy in (old, new):
                await proxy.until(lambda state: len(state.usable_weights("press-book")) == 5)


async def test_an_expired_certificate_ends_its_streams(tmp_path: Path) -> None:
    certificates = Certificates(tmp_path)
    async with running(tmp_path, certificates.section) as run:
        async with connect(
            run, certificates.client_context("p0.proxies", lifetime=2.5), "p0.proxies"
        ) as short:
            await short.until(has_tables)
            # The connection was closed, so the call has no status.
            assert (await call_end(short.call)).status is None
        await until(
            lambda: any(
                "has expired" in said["why"] for said in run.logged("proxy.authentication_failed")
            )
        )
