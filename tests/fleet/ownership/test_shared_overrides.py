"""Operator overrides for the whole fleet, with three managers in one process."""

import json
from pathlib import Path

import pytest

from dunlinlug.fleet.ownership import messages, shared_overrides
from dunlinlug.net.http import Request, Response
from tests.fixtures.manager_process import WORKERS, until
from tests.fixtures.manager_set import Fleet, fleet

TOKEN = "a-token-of-the-tests"
TRAFFIC_CLASS = "ticket-read"
OVERRIDE = {"product": TRAFFIC_CLASS, "lasts": 60, "without": [WORKERS[0].id]}
NOWHERE = dict.fromkeys("abc", list[str]())
EVERYWHERE = dict.fromkeys("abc", [TRAFFIC_CLASS])


def active_overrides(managers: Fleet) -> dict[str, list[str]]:
    """Returns, by member, the traffic classes that have an active override on it."""
    return {
        name: sorted(entry["product"] for entry in manager.admin_api.overrides.to_plain())
        for name, manager in managers.managers.items()
    }


async def send_request(
    managers: Fleet, name: str, method: str, path: str, body: object = None
) -> Response:
    """Returns a manager's answer to an operator's request."""
    headers = {"authorization": f"Bearer {TOKEN}"}
    request = Request(method, path, {}, headers, json.dumps(body).encode())
    return await managers.managers[name].admin_api.handle(request)


async def put_override(managers: Fleet, name: str) -> Response:
    return await send_request(managers, name, "PUT", "/pins", OVERRIDE)


async def delete_override(managers: Fleet, name: str) -> Response:
    return await send_request(managers, name, "DELETE", f"/pins/{TRAFFIC_CLASS}")


async def until_ready(managers: Fleet) -> None:
    """Waits until all managers hold shards and have the list of workers."""
    await until(
        lambda: all(
            manager.ownership and len(manager.ownership.protocol.held_shards) > 60
            for manager in managers.managers.values()
        )
    )
    await until(
        lambda: all(
            manager.components.validation
            and len(manager.components.validation.validator.endpoints.by_id) == len(WORKERS)
            for manager in managers.managers.values()
        )
    )


def owner_of(managers: Fleet, task: str) -> str:
    return next(
        name
        for name, manager in managers.managers.items()
        if manager.ownership.held_token(task) is not None
    )


async def test_an_override_is_changed_on_its_owner_only_and_applied_on_all_managers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    token = tmp_path / "token"
    token.write_text(TOKEN)
    token.chmod(0o600)
    extra_config = (
        f"\n[operators]\ntoken_file = {token}\nlisten = 127.0.0.1:0\n"
        "\n[members]\nme = ME\nkey_file = KEY\nbeat = 50ms\n"
        "\n[owner]\non = yes\nlease = 500ms\nbeat = 50ms\n"
    )
    async with fleet(tmp_path, proxies=0, extra_config=extra_config, succession=False) as managers:
        await until_ready(managers)
        task = shared_overrides.task_of(TRAFFIC_CLASS)
        owner = owner_of(managers, task)
        other = next(name for name in managers.managers if name != owner)
        rejected = await put_override(managers, other)
        assert rejected.status == 409
        assert (
            f"{owner} owns the override of {TRAFFIC_CLASS}; make the change"
            in rejected.body.decode()
        )
        with monkeypatch.context() as patch:
            patch.setattr(messages, "MAX_CHECKPOINT_BYTES", 10)
            too_large = await put_override(managers, owner)
        assert too_large.status == 409
        assert "exceeds 10 bytes" in too_large.body.decode()
        assert active_overrides(managers) == NOWHERE, "a change that is not logged is not applied"
        assert (await put_override(managers, owner)).status == 200
        await until(lambda: active_overrides(managers) == EVERYWHERE)
        coordinator = next(
            manager.ownership
            for manager in managers.managers.values()
            if manager.ownership.protocol.log.is_leader
        )
        coordinator.move_task(task, other)
        await until(lambda: managers.managers[other].ownership.held_token(task) is not None)
        assert (await delete_override(managers, owner)).status == 409
        assert (await delete_override(managers, other)).status == 200
        await until(lambda: active_overrides(managers) == NOWHERE)
        assert (await delete_override(managers, other)).status == 404
        for name in set(managers.managers) - {other}:
            await managers.stop(name)
        await until(lambda: not managers.managers[other].ownership.protocol.held_shards)
        rejected = await put_override(managers, other)
        assert rejected.status == 409
        assert "no manager owns" in rejected.body.decode(), "overrides stay as they are"
