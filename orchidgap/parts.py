"""Which protocol a configuration asks for."""

from __future__ import annotations

from orchidgap.http1 import Http1
from orchidgap.net import start
from orchidgap.net.node import Parts


def parts_of(station: start.Station) -> Parts:
    """What the program speaks: RESP where the configuration has a part for it, else HTTP. Raises BadStart."""
    if station.resp is None:
        return Http1()
    from orchidgap.resp import Resp

    try:
        return Resp(station.resp, station.name, station.listen)
    except (ValueError, TypeError, OSError) as trouble:
        raise start.BadStart(f"resp: {trouble}") from None
