"""Entry point of ``python -m teaselbridge``."""

from __future__ import annotations

from teaselbridge.cli import main

if __name__ == '__main__':
    main.main()
