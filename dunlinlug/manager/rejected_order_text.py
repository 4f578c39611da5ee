"""The text of a rejected order in the store and in the log.

Earlier versions wrote the same text and operators' scripts parse it, so its names are fixed and
differ from those of the code.
"""

from dunlinlug.decision.orders import AssignTable, DeleteTable, SetAdmission, SetEjected, SetWeight


def rejected_order_text(
    order: SetWeight | DeleteTable | AssignTable | SetEjected | SetAdmission,
) -> str:
    """Return the one-line text of an order for the store and the log."""
    match order:
        case SetWeight(table_id, worker, weight):
            return f"Share(tbl={table_id!r}, worker={worker!r}, weight={weight!r})"
        case DeleteTable(table_id):
            return f"Clear(tbl={table_id!r})"
        case AssignTable(proxy, traffic_classes, table_id):
            return f"Bind(proxy={proxy!r}, products={traffic_classes!r}, tbl={table_id!r})"
        case SetEjected(worker, ejected):
            return f"Withdraw(worker={worker!r}, out={ejected!r})"
        case SetAdmission(table_id, traffic_class, retry_policy, admitted_fraction):
            return (
                f"Admit(tbl={table_id!r}, product={traffic_class!r}, retry={retry_policy!r}, "
                f"share={admitted_fraction!r})"
            )
