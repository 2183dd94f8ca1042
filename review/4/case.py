"""A version with one route of a long prefix is acknowledged; does it apply?

The version moves the route /cellars/ from one service to another, and adds a
route whose prefix has 160 bytes. Without the disruption the prefix is shorter.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "harness-2"))
from mesh import (BOUNDS, TROUBLE, config, main, request,  # noqa: E402
                  route, wait_served)

HOST = "cellars.example"
SERVICES = ["view-old", "view-new"]
# An ordinary nested path. Its length is 160 bytes with the disruption.
PREFIX_BYTES = 160 if TROUBLE else 120
REQUESTS_S = 8


def long_prefix():
    text = "/breweries/" + "halls/and/houses/" * 20
    return text[:PREFIX_BYTES - 1].rstrip("/").ljust(PREFIX_BYTES - 1, "x") + "/"


def play(mesh):
    for zone, service in (("hall-a", "view-old"), ("hall-b", "view-new"),
                          ("hall-c", "view-old"), ("hall-d", "view-new")):
        mesh.add(zone, service)
    routes = {"r-1": route(HOST, "/cellars/", "view-old")}
    mesh.store.put_config(config(7, routes, SERVICES))
    mesh.start()
    for node in mesh.nodes:
        wait_served(mesh, node, HOST, "/cellars/1")
    time.sleep(BOUNDS["stable_window_s"])

    prefix = long_prefix()
    assert len(prefix) == PREFIX_BYTES
    mesh.record("the new version has a route with a prefix of", len(prefix),
                "bytes:", prefix)
    routes = {"r-1": route(HOST, "/cellars/", "view-new"),
              "r-2": route(HOST, prefix, "view-new")}
    acknowledged = mesh.store.put_config(config(9, routes, SERVICES))
    late_from = acknowledged + BOUNDS["config_s"]

    old = refused = judged = 0
    while time.monotonic() < late_from + REQUESTS_S:
        for node in mesh.nodes:
            for path in ("/cellars/1", prefix + "1"):
                answer = request(mesh, node, HOST, path)
                if answer.began <= late_from:
                    continue
                judged += 1
                old += answer.body.startswith(b"view-old ")
                refused += answer.status == 404
        time.sleep(0.2)
    mesh.record("of", judged, "requests sent later than config_s after the",
                "acknowledgement, run by the old service:", old,
                "- refused with 404 though the route is there:", refused)
    return old + refused > 0


main(os.path.dirname(os.path.abspath(__file__)), play)
