"""Worker process of ``bench.control_cost`` that runs several nodes."""

from __future__ import annotations

import asyncio
import pathlib
import sys

import msgspec

from bench import control_cost
from teaselbridge.settings import model


def main() -> None:
    """Run the nodes whose settings are in the file given as argument."""
    data = pathlib.Path(sys.argv[1]).read_bytes()
    settings = msgspec.json.decode(data, type=list[model.Settings])
    asyncio.run(control_cost.run_nodes(settings))


if __name__ == '__main__':
    main()
