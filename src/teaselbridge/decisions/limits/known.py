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
        self.refusals_by_pool: dict[str, float] = {}
        self.own_slots: dict[str, int] = {}
        self.next_refresh_at = 0

    @property
    def is_empty(self) -> bool:
        """Whether servers neither name a rate nor bear few refusals."""
        return self.buckets.is_empty and not self.refusals_by_pool
