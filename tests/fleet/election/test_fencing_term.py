"""Proxies reject responses of a former leader by their fencing term."""

from dunlinlug.xds import encoding, fencing_term, names
from dunlinlug.xds.stream import DeltaStream
from dunlinlug.xds.subscriber import DeltaSubscriber, ProxyState


def test_a_proxy_rejects_a_lower_term_on_old_streams_and_new_ones() -> None:
    proxy_state = ProxyState()
    for term, member, reason in [
        (3, "a", ""),
        (3, "a", ""),
        (2, "b", "term 3 has been seen"),
        (3, "c", "another master"),
        (0, "", "term 3 has been seen"),
        (4, "c", ""),
    ]:
        stream = DeltaStream()
        stream.control_plane_id = (
            fencing_term.format_identifier(term, member) if term else "dunlinlug"
        )
        ejections = encoding.encode_ejections({f"10.0.0.{term}:80"})
        _, applied = DeltaSubscriber(proxy_state, "p", "", {}).receive(
            stream.respond(names.ENDPOINTS_TYPE, (ejections,), (), "")[1]
        )
        assert reason in applied.rejection_reason and bool(applied.rejection_reason) == bool(reason)
        assert fencing_term.superseding_term(applied.rejection_reason) == (
            3 if "has been seen" in reason else 0
        )
    assert proxy_state.ejected == {"10.0.0.4:80"}
