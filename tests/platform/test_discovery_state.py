"""Decoding of service discovery's responses, and the queries that follow from them."""

from random import Random

import pytest

from dunlinlug.decision.events import Endpoint, EndpointsUpdated
from dunlinlug.platform import discovery_state

SNAPSHOT = (
    b'{"generation":41,"reset":true,"instances":[{"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:8081",'
    b'"zone":"a","machineType":"m2","cell":3,"lifecycle":"ready","weight":1.0,"startedAtMs":0}]}'
)


def test_a_snapshot_and_its_changes_become_updates() -> None:
    state = discovery_state.DiscoveryState(Random(1).uniform)
    assert state.next_query() == "/v1/servers"
    update = state.handle_response(discovery_state.decode_response(SNAPSHOT))
    assert update == EndpointsUpdated(
        "whole", (Endpoint("s-5be2a07c", "a", "m2", 3, "ready", 1.0, None),)
    )
    assert state.next_query() == "/v1/servers?index=41&wait=2000"
    changes = (
        SNAPSHOT.replace(b"41", b"43")
        .replace(b"true", b"false")
        .replace(b"ready", b"draining")
        .replace(b'"startedAtMs":0', b'"startedAtMs":1500')
    )
    update = state.handle_response(discovery_state.decode_response(changes))
    assert update == EndpointsUpdated(
        "changes", (Endpoint("s-5be2a07c", "a", "m2", 3, "draining", 1.0, 1.5),)
    )
    assert (
        state.handle_response(
            discovery_state.decode_response(b'{"generation":43,"reset":false,"instances":[]}')
        )
        is None
    )
    assert state.next_query().startswith("/v1/servers?index=43&")


def test_a_version_that_went_back_leads_to_a_query_of_the_complete_list() -> None:
    state = discovery_state.DiscoveryState(Random(1).uniform)
    state.handle_response(discovery_state.decode_response(SNAPSHOT))
    assert (
        state.handle_response(
            discovery_state.decode_response(b'{"generation":7,"reset":false,"instances":[]}')
        )
        is None
    )
    assert state.next_query() == "/v1/servers"
    snapshot = state.handle_response(discovery_state.decode_response(SNAPSHOT.replace(b"41", b"7")))
    assert (
        snapshot is not None
        and snapshot.update_type == "whole"
        and "index=7&" in state.next_query()
    )


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b"[]",
        SNAPSHOT.replace(b"41", b'"41"'),
        SNAPSHOT.replace(b"ready", b"asleep"),
        SNAPSHOT[:-1],
        SNAPSHOT.replace(b":8081", b""),
        SNAPSHOT.replace(b":8081", b":99999"),
        SNAPSHOT.replace(b"1.0", b"-1.0"),
    ],
)
def test_an_invalid_response_is_an_error(body: bytes) -> None:
    with pytest.raises(discovery_state.DiscoveryError):
        discovery_state.decode_response(body)


def test_the_backoff_after_failures_grows_up_to_a_bound() -> None:
    state = discovery_state.DiscoveryState(Random(1).uniform)
    pauses = [state.next_backoff() for _ in range(40)]
    assert (
        0.0 < pauses[0] <= discovery_state.INITIAL_BACKOFF_S
        and max(pauses) <= discovery_state.MAX_BACKOFF_S
    )
    assert pauses[-1] >= discovery_state.MAX_BACKOFF_S / 2
