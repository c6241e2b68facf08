"""What a node knows and keeps of the limits of backend servers."""

from __future__ import annotations

from teaselbridge.decisions.limits import shares
from teaselbridge.decisions.limits import terms as terms_module
from teaselbridge.decisions.limits import tokens


class Limits:
    """Terms of backend servers, and this node's shares of them.

    Attributes:

    * ``terms``: what the servers stated.
    * ``buckets``: this node's requests to servers that name a rate.
    * ``candidates``: nodes that may be senders.
    * ``cold_rates``: requests per second that cold servers tolerate, by host.
    * ``refusals_by_pool``: refusals per second that a server of a pool
      bears, for the pools whose servers bear few.
    * ``own_slots``: slots of servers of these pools that are this node's
      part, by host.
    * ``next_refresh_at``: monotonic milliseconds of the next update of the
      shares.
    """

    def __init__(self) -> None:
        self.terms = terms_module.StatedTerms()
        self.buckets = tokens.Buckets()
        self.candidates = shares.Candidates()
        self.cold_rates: dict[str, float] = {}
        self.refusals_by_pool: dict[str, float] = {}
        self.own_slots: dict[str, int] = {}
        self.next_refresh_at = 0

    @property
    def limited_hosts(self) -> frozenset[str]:
        """Hosts whose servers state terms, or are cold."""
        return frozenset(self.terms.restricted_hosts) | self.cold_rates.keys()

    def get_rate(self, host: str) -> float | None:
        """Return the requests per second that a server takes from all nodes.

        :return: none where it takes any number.
        """
        stated = self.terms.get(host).rate
        cold = self.cold_rates.get(host)
        if stated is None or cold is None:
            return cold if stated is None else stated
        return min(stated, cold)

    @property
    def is_empty(self) -> bool:
        """Whether servers neither name a rate nor bear few refusals."""
        return self.buckets.is_empty and not self.refusals_by_pool
