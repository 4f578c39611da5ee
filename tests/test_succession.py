"""Managers that take over from each other, over sockets in this process."""

from pathlib import Path

from tests.fleet import fleet
from tests.running import WORKERS, bound, until


async def test_one_leads_binds_the_proxies_and_a_cut_off_master_is_followed_by_another(tmp_path: Path) -> None:
    async with fleet(tmp_path) as run:
        first = await run.led()
        for proxy in run.proxies:
            await proxy.until(bound)
        run.roster.tell(w2="draining")
        for proxy in run.proxies:
            await proxy.until(lambda h: WORKERS[2].id in h.out)
        run.cut(first.helm.me)
        second = await run.led(but=first.helm.me)
        for proxy in run.proxies:
            await proxy.until(lambda h: h.fence.term == second.helm.machine.term)
            await proxy.until(lambda h: bound_without(h, 2))
        assert not first.helm.machine.leading and run.said("succession.yields")
        run.roster.tell(w4="draining")
        for proxy in run.proxies:
            await proxy.until(lambda h: bound_without(h, 2, 4))
        run.cut(first.helm.me, on=False)
        await until(lambda: first.helm.machine.master == second.helm.me)
        await until(lambda: first.helm.machine.position == second.helm.machine.position)


def bound_without(holdings: object, *gone: int) -> bool:
    left = {w.id for n, w in enumerate(WORKERS) if n not in gone}
    return all(set(holdings.lines(product)) == left for product in ("ticket-read", "press-book"))  # type: ignore
