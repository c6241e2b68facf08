"""Launcher that runs the program from its source tree.

The dependencies are expected to be installed.
"""

from __future__ import annotations

import gc
import pathlib
import signal
import sys

# The default action would end a process that starts; a node installs a
# handler once it can read its settings again.
if 'serve' in sys.argv[1:]:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Importing creates no garbage, but collections during the imports take a
# quarter of the startup time. ``serve`` enables the collector again.
gc.disable()

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'src'))
# The directory of this file holds no other modules, and this file would shadow
# the package of the same name.
sys.path.remove(str(pathlib.Path(__file__).parent))

from teaselbridge.cli import main  # noqa: E402

if __name__ == '__main__':
    main.main()
