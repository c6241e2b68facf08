"""What the users' platform demands of the decisions."""

from __future__ import annotations

import dataclasses

from teaselbridge.decisions import rates


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Demands of one deployment.

    :param revoke_ms: after this time no revoked key may be used; 0 where
        keys may be used while the store cannot be asked.
    :param retry_share: further attempts allowed as a share of requests,
        over all nodes.
    :param retry_extra: further attempts allowed besides.
    :param tolerance: what is allowed over the rate of a workspace.
    :param usage_window_ms: span of one usage report.
    :param duties: duties that the platform takes calls of.
    :param first_start: whether no node of the deployment ran before.
    """

    revoke_ms: int = 5_000
    retry_share: float = 0.2
    retry_extra: float = 50
    tolerance: rates.Tolerance = rates.Tolerance()
    usage_window_ms: int = 5_000
    duties: tuple[str, ...] = ()
    first_start: bool = False
