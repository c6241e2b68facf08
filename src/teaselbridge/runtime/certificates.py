"""Notices that certificate files were replaced."""

from __future__ import annotations

import pathlib
import typing

if typing.TYPE_CHECKING:
    from teaselbridge.settings import model


class Files:
    """The files of a certificate, by their times of change.

    :param tls: names of the files.
    """

    def __init__(self, *, tls: model.Tls) -> None:
        self._paths = (pathlib.Path(tls.certificate), pathlib.Path(tls.key))
        self._times = self._read()

    def have_changed(self) -> bool:
        """Tell whether a file was replaced since the last question.

        While a file is missing, what was loaded last stays in use.
        """
        times = self._read()
        if times is None or times == self._times:
            return False
        self._times = times
        return True

    def _read(self) -> tuple[int, ...] | None:
        try:
            return tuple(path.stat().st_mtime_ns for path in self._paths)
        except OSError:
            return None
