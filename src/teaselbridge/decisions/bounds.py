"""Requirements of the users' platform on the decisions."""

from __future__ import annotations

import dataclasses

from teaselbridge.decisions.sharing import rates


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Requirements of one deployment.

    :param revoke_ms: maximum time for which a revoked key may still be
        accepted; 0 where keys are accepted while the store is unreachable.
    :param retry_share: retries allowed as a share of requests, summed over
        all nodes.
    :param retry_extra: number of retries allowed on top of that share.
    :param tolerance: excess allowed over the rate of a workspace.
    :param usage_window_ms: time covered by one usage report.
    :param duties: duties whose calls the platform accepts.
    :param cold_excess: factor by which requests to a cold server may exceed
        the rate that it tolerates, in any one second.
    :param cold_slack: requests by which they may exceed it in addition.
    :param first_start: whether no node of the deployment has run before.
    """

    revoke_ms: int = 5_000
    retry_share: float = 0.2
    retry_extra: float = 50
    tolerance: rates.Tolerance = rates.Tolerance()
    usage_window_ms: int = 5_000
    duties: tuple[str, ...] = ()
    cold_excess: float = 1.5
    cold_slack: float = 5
    first_start: bool = False
