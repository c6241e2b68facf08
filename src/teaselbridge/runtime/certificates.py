"""Detects that certificate files were replaced."""

from __future__ import annotations

import pathlib
import typing

if typing.TYPE_CHECKING:
    from teaselbridge.settings import model


class CertificateFiles:
    """Certificate and key file with their last modification times.

    :param tls: paths of the files.
    """

    def __init__(self, *, tls: model.Tls) -> None:
        self._paths = (pathlib.Path(tls.certificate), pathlib.Path(tls.key))
        self._modified_ns = self._read_modified_ns()

    def has_changed(self) -> bool:
        """Return whether a file was modified since the last call.

        Return false while a file is missing: the certificate that was
        loaded last stays in use.
        """
        modified_ns = self._read_modified_ns()
        if modified_ns is None or modified_ns == self._modified_ns:
            return False
        self._modified_ns = modified_ns
        return True

    def _read_modified_ns(self) -> tuple[int, ...] | None:
        try:
            return tuple(path.stat().st_mtime_ns for path in self._paths)
        except OSError:
            return None
