"""A former owner takes a restarted agent over, and tasks that are done run again."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import sys
import time

from review.lib.bridge import Bridge
from review.lib.site import ZONES, Site, free_ports, overlaps, restarts
from soak.proxy import Proxies

CASE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = 8
TASKS = 6
SECONDS = 1.8
# `platform_down`, one machine, silent: 7.0 s at most; `bridge_cut`: 5.5 s.
NO_STORE_S = 7.0
BRIDGE_CUT_S = 5.5
# Another entry takes over within some 4 s, and reaches the agents soon after.
TAKEOVER_S = 5.0
REACH_S = 0.7
RUN_S = 0.6
DOWN_S = 0.3
# `node_kill`: 0.16 of the machines at most; one of these and the entries is 0.14.
HOSTS = 4
FINISH_S = 14.0


def body() -> dict[str, object]:
    """Return a job of short tasks."""
    step = {"Count": TASKS, "Cpu": 500, "MemMb": 256, "EstimateMs": 1_800}
    return {"Spec": json.dumps({"seconds": SECONDS, "cpu": 500}), "Steps": [step]}


def disturb_store(site: Site, proxies: Proxies, owner: str, *, down: bool) -> None:
    """Begin or end the time in which the store is out of reach for an entry."""
    site.record("store out of reach" if down else "store in reach", name=owner)
    for kind in ("cut_in", "cut_out"):
        change = proxies.start_fault if down else proxies.end_fault
        change(owner, kind)


def play(site: Site) -> list[str]:
    """Take the store from the owner, restart an agent, return what ran twice."""
    proxies = Proxies()
    for name, port in zip(site.entries, free_ports(len(site.entries)), strict=True):
        proxies.add(name, port, site.port["store"])
        site.store_port[name] = port
    bridges = {}
    for host, port in zip(site.hosts, free_ports(len(site.hosts)), strict=True):
        target = site.port[f"links {host}"]
        bridges[host] = Bridge(port=port, target=target, entries=site.entries)
        site.reached_at[host] = port
    site.start()
    time.sleep(5.0)
    former = site.owner()
    began = time.monotonic()
    if TROUBLE:
        disturb_store(site, proxies, former, down=True)
    owner = site.owner()
    while TROUBLE and owner in ("", former):
        if time.monotonic() - began > TAKEOVER_S:
            raise RuntimeError("no other entry has taken over")
        time.sleep(0.1)
        owner = site.owner()
    time.sleep(REACH_S)
    # The zone of the third entry reaches both owners, until it is cut from the new one.
    third = next(name for name in site.entries if name not in (former, owner))
    cut_off = [name for name in site.hosts if site.zone(name) == site.zone(third)]
    host = cut_off[0]
    live = site.entries.index(third)
    for number in range(JOBS):
        status, _ = site.job("POST", f"{0xF0 + number:016x}", body(), entry=live)
        if status != 200:
            raise RuntimeError("a job was not accepted")
    time.sleep(RUN_S)
    if TROUBLE:
        site.record("bridge cut", zones=[site.zone(owner), site.zone(host)])
        cut_at = time.monotonic()
        for other in cut_off:
            bridges[other].cut.add(owner)
        site.signal(host, signal.SIGKILL)
        site.wait_ended(host, 5.0)
        time.sleep(DOWN_S)
        site.start_program(host)
        time.sleep(max(0.0, began + NO_STORE_S - time.monotonic()))
        disturb_store(site, proxies, former, down=False)
        time.sleep(max(0.0, cut_at + BRIDGE_CUT_S - time.monotonic()))
        for other in cut_off:
            bridges[other].cut.clear()
        site.record("bridge healed")
    time.sleep(FINISH_S)
    seen = site.seen()
    return restarts(seen) + overlaps(seen, [])


def main() -> int:
    """Return the exit code of the case."""
    site = Site(CASE, entries=len(ZONES), hosts=HOSTS)
    try:
        found = play(site)
    except (RuntimeError, OSError) as error:
        site.close(f"could not run: {error}")
        print(f"could not run: {error}")
        return 2
    verdict = f"TWICE broken {len(found)} times" if found else "TWICE held"
    site.close("\n".join([verdict, *found]))
    print("\n".join([verdict, *found[:3]]))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
