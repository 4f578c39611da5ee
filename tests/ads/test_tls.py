"""TLS on ADS and LRS: who a proxy is, bad keys, keys changed under standing streams, a certificate that runs out."""

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
from tests.fixtures.manager_process import Peer, Running, bound, running, until


class Keys:
    """Certificates of an authority of the test's own, in files."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.authority = folder, trustme.CA()
        self.authority.cert_pem.write_to_path(folder / "clients.pem")
        self.serve()

    def serve(self) -> None:
        made = self.authority.issue_cert("127.0.0.1")
        made.private_key_pem.write_to_path(self.folder / "manager.key")
        (self.folder / "manager.pem").write_bytes(
            b"".join(blob.bytes() for blob in made.cert_chain_pems)
        )

    def client(
        self, name: str, authority: trustme.CA | None = None, lasts: float = 3600.0
    ) -> object:
        until_then = datetime.now(UTC) + timedelta(seconds=lasts)
        made = (authority or self.authority).issue_cert(name, not_after=until_then)
        cert, key = self.folder / f"{name}.pem", self.folder / f"{name}.key"
        cert.write_bytes(b"".join(blob.bytes() for blob in made.cert_chain_pems))
        made.private_key_pem.write_to_path(key)
        return tls.client_context(cert, key, self.folder / "clients.pem")

    @property
    def section(self) -> tuple[str, str]:
        return "[roster]", (
            f"[tls]\ncert = {self.folder}/manager.pem\nkey = {self.folder}/manager.key\n"
            f"clients = {self.folder}/clients.pem\n\n[roster]"
        )


@asynccontextmanager
async def secure(run: Running, context: object, node: str) -> AsyncIterator[Peer]:
    async with grpc.connect(*run.address, tls_context=context) as link:  # type: ignore[arg-type]
        yield Peer(link, node)


async def ended(call: grpc.Call) -> grpc.CallEndedError:
    with trio.fail_after(5.0), pytest.raises(grpc.CallEndedError) as found:
        while True:
            await call.receive()
    return found.value


async def test_a_proxy_is_who_its_certificate_names(tmp_path: Path) -> None:
    keys = Keys(tmp_path)
    async with running(tmp_path, keys.section) as run:
        context = keys.client("p0.proxies")
        async with (
            secure(run, context, "p0.proxies") as good,
            secure(run, context, "p1.proxies") as impostor,
        ):
            await good.until(bound)
            end = await ended(impostor.call)
            assert end.status == rpc.Status.PERMISSION_DENIED and "p0.proxies" in end.reason
            report = impostor.link.start_call(names.LRS_METHOD)
            report.send(
                load_reports.encode_report(
                    load_reports.LoadReport("p1.proxies", "north", 0.0), is_first=True
                )
            )
            assert (await ended(report)).status == rpc.Status.PERMISSION_DENIED
        assert len(run.said("proxy.connected")) == 1


async def test_who_shows_no_good_certificate_is_not_served_and_harms_nobody(tmp_path: Path) -> None:
    keys = Keys(tmp_path)
    async with (
        running(tmp_path, keys.section) as run,
        secure(run, keys.client("p0.proxies"), "p0.proxies") as good,
    ):
        await good.until(bound)
        for context in (
            keys.client("p2.proxies", trustme.CA()),
            keys.client("p3.proxies", lasts=-60.0),
        ):
            with pytest.raises((OSError, grpc.CallEndedError, ExceptionGroup)):
                async with secure(run, context, "p2.proxies") as bad:
                    raise await ended(bad.call)
        async with await trio.open_tcp_stream(*run.address) as plain:
            await plain.send_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
            with trio.fail_after(5.0):
                while await plain.receive_some():
                    pass
        await until(lambda: len(run.said("proxy.authentication_failed")) >= 3)
        assert len(run.said("proxy.connected")) == 1
        run.roster.tell(w1="draining")
        await good.until(lambda h: len(h.usable_weights("press-book")) == 5)


async def test_keys_change_on_reload_while_streams_stand(tmp_path: Path) -> None:
    keys = Keys(tmp_path)
    async with (
        running(tmp_path, keys.section) as run,
        secure(run, keys.client("p0.proxies"), "p0.proxies") as old,
    ):
        await old.until(bound)
        former = keys.authority
        keys.authority = trustme.CA()
        keys.authority.cert_pem.write_to_path(tmp_path / "clients.pem")
        (tmp_path / "manager.key").write_text("not a key")
        run.manager.reloader.reload()
        assert "not a certificate and its key" in run.said("reload.rejected")[-1]["why"]
        keys.serve()
        run.manager.reloader.reload()
        assert run.said("reload.done")
        async with secure(run, keys.client("p1.proxies"), "p1.proxies") as new:
            await new.until(bound)
            with pytest.raises((OSError, grpc.CallEndedError, ExceptionGroup)):
                async with secure(run, keys.client("p2.proxies", former), "p2.proxies") as late:
                    raise await ended(late.call)
            run.roster.tell(w1="draining")
            for proxy in (old, new):
                await proxy.until(lambda h: len(h.usable_weights("press-book")) == 5)


async def test_a_certificate_that_runs_out_ends_its_streams(tmp_path: Path) -> None:
    keys = Keys(tmp_path)
    async with running(tmp_path, keys.section) as run:
        async with secure(run, keys.client("p0.proxies", lasts=2.5), "p0.proxies") as short:
            await short.until(bound)
            assert (await ended(short.call)).status is None
        await until(
            lambda: any(
                "run out" in said["why"] for said in run.said("proxy.authentication_failed")
            )
        )
