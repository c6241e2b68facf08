"""Client of the deployment platform's key-value store."""

from __future__ import annotations

import base64
import dataclasses
import typing

import msgspec

from teaselbridge import documents
from teaselbridge import errors
from teaselbridge.platform import connections
from teaselbridge.platform import names
from teaselbridge.platform import services
from teaselbridge.ports import keyvalue

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.telemetry import metrics

# The store usually answers within milliseconds; a slow one takes some
# hundred.
TIMEOUT_MS = 1_000
CONNECT_TIMEOUT_MS = 500
# A watch without a response for this long after its requested wait counts as
# broken.
WATCH_TIMEOUT_MARGIN_MS = 700
LIST_TIMEOUT_MS = 2_000
MAX_PAGES = 50
# Longer numbers are no eras; very long ones cannot be decoded.
MAX_ERA_DIGITS = 15
# Prefix below which no key is ever written.
EMPTY_PREFIX = 'teaselbridge/nothing/'

OK_STATUS = 200
NOT_FOUND_STATUS = 404
COMPACTED_STATUS = 410
CONDITION_FAILED_STATUS = 412


class _Item(msgspec.Struct, frozen=True, rename='kebab'):
    key: str
    # Content in base64; missing where the key was removed.
    value: str = ''
    # Revisions of the last change and of the creation.
    rev: int = 0
    created: int = 0
    tombstone: bool = False


class _RangeResponse(msgspec.Struct, frozen=True, rename='kebab'):
    items: tuple[_Item, ...] = ()
    truncated: bool = False
    as_of: int = 0


class _WatchResponse(msgspec.Struct, frozen=True, rename='kebab'):
    events: tuple[_Item, ...] = ()
    as_of: int = 0


class _TxnResponse(msgspec.Struct, frozen=True, rename='kebab'):
    rev: int = 0


class _LeaseResponse(msgspec.Struct, frozen=True, rename='kebab'):
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Entry of the store.

    :param data: content, none where the entry was removed.
    :param revision: revision of its last change.
    """

    key: str
    data: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Entries below a prefix, or changes of them up to a revision.

    :param revision: revision after which to watch for changes.
    :param era: era of the store in which that revision was given out.
    """

    entries: tuple[Entry, ...]
    revision: int
    era: int = 0


@dataclasses.dataclass(eq=False)
class HistoryLostError(keyvalue.KeyValueError):
    """Error of a watch whose start revision the store does not have.

    It was compacted, or the store was restored from an older copy.
    """


class StoreClient:
    """Adapter of the key-value port, with lists and watches by prefix.

    :param address: ``ip:port`` of the store.
    :param meter: metrics that count each call, watches included.
    :param on_era: called with each era that is seen for the first time, and
        whether another was seen before, which means that the store was
        restored. It is called before the call that showed the era returns.
    """

    def __init__(
        self,
        *,
        address: str,
        meter: metrics.Meter,
        on_era: collections.abc.Callable[[int, bool], None],
    ) -> None:
        self._meter = meter
        self._on_era = on_era
        self._era: int | None = None
        self._address = address
        self._client = _build_client(address)

    @property
    def era(self) -> int:
        """Highest era of the store that was seen, 0 for none.

        It rises by one when the store is restored from an older copy. The
        revisions given out since that copy are then given out again.
        """
        return self._era or 0

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def reconnect(self) -> None:
        """Replace all open connections, which may no longer respond."""
        old = self._client
        self._client = _build_client(self._address)
        await old.close()

    async def get(self, key: str, purpose: keyvalue.Purpose) -> keyvalue.Value:
        """Read one key."""
        response = await self._call(
            'GET', '/api/kv-key', purpose, params={'key': key}
        )
        if response.status == NOT_FOUND_STATUS:
            return keyvalue.Value(None, 0)
        item = _decode(response, _Item, writes=False)
        return keyvalue.Value(_convert_item(item).data, item.rev)

    async def compare_and_swap(
        self,
        key: str,
        data: bytes,
        revision: int,
        purpose: keyvalue.Purpose,
        lease: int = 0,
    ) -> keyvalue.SwapResult:
        """Write one key if its revision is the given one."""
        put: dict[str, object] = {
            'key': key,
            'value': base64.b64encode(data).decode(),
        }
        if lease:
            put['lease'] = lease
        body = {
            'if-rev': [{'key': key, 'rev': revision}],
            'puts': [put],
            'remove': [],
        }
        response = await self._call(
            'POST', '/api/kv-txn', purpose, body=body, writes=True
        )
        if response.status in (CONDITION_FAILED_STATUS, NOT_FOUND_STATUS):
            return keyvalue.SwapResult(False, 0)
        return keyvalue.SwapResult(
            True, _decode(response, _TxnResponse, writes=True).rev
        )

    async def put_with_lease(self, key: str, data: bytes, lease: int) -> bool:
        """Write one key without a condition on its revision.

        :return: whether it was written, false where the lease has ended.
        """
        text = base64.b64encode(data).decode()
        row = {'key': key, 'value': text, 'lease': lease}
        body = {'if-rev': [], 'puts': [row], 'remove': []}
        response = await self._call(
            'POST',
            '/api/kv-txn',
            keyvalue.Purpose.MEMBERS,
            body=body,
            writes=True,
        )
        return response.status == OK_STATUS

    async def grant_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its number."""
        response = await self._call(
            'POST',
            '/api/kv-lease',
            keyvalue.Purpose.LEASE,
            body={'ttl-ms': ttl_ms},
            writes=True,
        )
        return _decode(response, _LeaseResponse, writes=True).lease

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return whether it was still valid."""
        response = await self._call(
            'POST',
            f'/api/kv-keep/{lease}',
            keyvalue.Purpose.LEASE,
            writes=True,
        )
        return response.status != NOT_FOUND_STATUS

    async def revoke_lease(self, lease: int) -> None:
        """End a lease, which deletes its keys."""
        await self._call(
            'DELETE',
            f'/api/kv-lease-end/{lease}',
            keyvalue.Purpose.LEASE,
            writes=True,
        )

    async def list(
        self,
        prefix: str,
        purpose: keyvalue.Purpose,
        *,
        allow_stale: bool = False,
    ) -> Entries:
        """Read all entries below a prefix.

        The pages are not one snapshot. The result has the revision of the
        first page, so that a watch from there sees the changes made between
        the pages.

        :param allow_stale: whether outdated entries are allowed, which costs
            less.
        :raises HistoryLostError: the store was restored between two pages.
        """
        entries_by_key: dict[str, Entry] = {}
        revision, era = 0, 0
        after = ''
        for page in range(MAX_PAGES):
            params = {'path-prefix': prefix}
            if after:
                params['after'] = after
            if allow_stale:
                params['allow-stale'] = '1'
            response = await self._call(
                'GET',
                '/api/kv-range',
                purpose,
                params=params,
                timeout_ms=LIST_TIMEOUT_MS,
            )
            answer = _decode(response, _RangeResponse, writes=False)
            if not page:
                revision, era = answer.as_of, self.era
            elif era != self.era:
                raise HistoryLostError(False, 'restored between two pages')
            for item in answer.items:
                entries_by_key[item.key] = _convert_item(item)
                after = max(after, item.key)
            if not answer.truncated:
                break
        return Entries(tuple(entries_by_key.values()), revision, era)

    async def get_latest_position(
        self, purpose: keyvalue.Purpose
    ) -> tuple[int, int]:
        """Return the era of the store and its current revision.

        A list below a prefix without keys is the smallest response that
        reliably holds it.
        """
        response = await self._call(
            'GET',
            '/api/kv-range',
            purpose,
            params={'path-prefix': EMPTY_PREFIX},
        )
        answer = _decode(response, _RangeResponse, writes=False)
        return self.era, answer.as_of

    async def changes(
        self,
        prefix: str,
        since: tuple[int, int],
        wait_ms: int,
        purpose: keyvalue.Purpose,
    ) -> Entries:
        """Wait for changes below a prefix after a revision.

        :param since: era of the store and revision in it.
        :param wait_ms: time after which the store responds without changes.
        :return: the changes, perhaps none.
        :raises HistoryLostError: the store no longer has the changes after
            that revision; all entries must be read again.
        """
        era, revision = since
        if era != self.era:
            raise HistoryLostError(False, 'the store was restored')
        response = await self._call(
            'GET',
            '/api/kv-watch',
            purpose,
            params={
                'path-prefix': prefix,
                'after': str(revision),
                'wait-ms': str(wait_ms),
            },
            timeout_ms=wait_ms + WATCH_TIMEOUT_MARGIN_MS,
        )
        answer = _decode(response, _WatchResponse, writes=False)
        if era != self.era:
            # The revision is another one now, so changes may be missing.
            raise HistoryLostError(False, 'the store was restored')
        entries = tuple(_convert_item(item) for item in answer.events)
        return Entries(entries, max(revision, answer.as_of), era)

    async def _call(
        self,
        method: str,
        path: str,
        purpose: keyvalue.Purpose,
        *,
        params: dict[str, str] | None = None,
        body: object = None,
        writes: bool = False,
        timeout_ms: int = TIMEOUT_MS,
    ) -> services.Response:
        kind = 'write' if writes else 'read'
        self._meter.count_keyvalue(kind, purpose.value)
        try:
            response = await self._client.call(
                method,
                path,
                timeout_ms=timeout_ms,
                params=params,
                body=None if body is None else msgspec.json.encode(body),
            )
        except connections.ConnectError as error:
            raise keyvalue.KeyValueError(False, repr(error)) from error
        except services.ERRORS as error:
            raise keyvalue.KeyValueError(writes, repr(error)) from error
        self._check_era(response, writes=writes)
        return _check_status(response, writes=writes)

    def _check_era(self, response: services.Response, *, writes: bool) -> None:
        """Note the era of an answer.

        :raises keyvalue.KeyValueError: the answer is from an earlier era,
            so that what it says may be gone.
        """
        value = response.get_header(names.STORE_ERA)
        if not (value.isascii() and value.isdigit()):
            return
        if len(value) > MAX_ERA_DIGITS:
            return
        era = int(value)
        if self._era is not None and era < self._era:
            detail = f'answer from era {era}, the store is in {self._era}'
            raise keyvalue.KeyValueError(writes, detail)
        self.note_era(era)

    def note_era(self, era: int) -> None:
        """Note an era of the store, unless a higher one was seen."""
        if self._era is not None and era <= self._era:
            return
        restored = self._era is not None
        self._era = era
        self._on_era(era, restored)


def _build_client(address: str) -> services.Client:
    return services.Client(
        address=address, connect_timeout_ms=CONNECT_TIMEOUT_MS
    )


def _check_status(
    response: services.Response, *, writes: bool
) -> services.Response:
    status = response.status
    if status == COMPACTED_STATUS:
        raise HistoryLostError(False, 'the history is gone')
    if status in (OK_STATUS, NOT_FOUND_STATUS, CONDITION_FAILED_STATUS):
        return response
    # A call refused by a rate limit or an outage has had no effect.
    in_doubt = writes and status not in (429, 503)
    raise keyvalue.KeyValueError(in_doubt, f'status {status}')


def _convert_item(item: _Item) -> Entry:
    if item.tombstone:
        return Entry(item.key, None, item.rev)
    try:
        data = base64.b64decode(item.value, validate=True)
    except ValueError:
        data = item.value.encode()
    return Entry(item.key, data, item.rev)


T = typing.TypeVar('T')


def _decode(response: services.Response, kind: type[T], *, writes: bool) -> T:
    try:
        return documents.decode(response.content, kind, 'store')
    except errors.DocumentError as error:
        raise keyvalue.KeyValueError(writes, str(error)) from error
