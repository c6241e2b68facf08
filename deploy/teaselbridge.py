"""Runs the program from its sources, beside its installed dependencies."""

from __future__ import annotations

import gc
import pathlib
import sys

# Nothing of what an import makes is garbage; to look for some takes a
# quarter of the time to start. ``serve`` turns this on again.
gc.disable()

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'src'))
# The folder of this file holds no modules, and would hide the package.
sys.path.remove(str(pathlib.Path(__file__).parent))

from teaselbridge.cli import main  # noqa: E402

if __name__ == '__main__':
    main.main()
