"""Restores the operator overrides of an earlier run from the store."""

import trio

from dunlinlug.admin.override_registry import OverrideRegistry
from dunlinlug.ads.composition import ManagerComponents
from dunlinlug.storage.store import StoreError


def restore_stored_overrides(components: ManagerComponents, overrides: OverrideRegistry) -> None:
    """Activate the stored overrides; none if the record is invalid, which is logged."""
    try:
        stored_overrides = components.store.overrides()
    except StoreError as error:
        components.log_event("store.invalid_overrides", why=str(error))
        return
    overrides.restore(trio.current_time(), stored_overrides)
