"""A backend's leaving is acknowledged; then the node beside it is killed.

The backend deregisters first and goes on serving, as some backends do. One of
its heartbeats, sent before that, arrives seconds late. With the disruption the
node beside it is killed right after its acknowledgement and started again.
"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "harness-2"))
from mesh import (BOUNDS, TROUBLE, config, main, request,  # noqa: E402
                  route, wait_served)

HOST = "seals.example"
WORK_S = 0.15
KILL_AFTER_S = 0.2
RESTART_AFTER_S = 0.5
BEAT_LATE_S = 2.5      # after the acknowledgement
SERVES_ON_S = 9.0      # "at times many seconds" longer than drain_s
CLIENTS = 5            # on each of two machines


def client(mesh, node, number, stopped):
    sent = 0
    while not stopped.is_set():
        sent += 1
        request(mesh, node, HOST, "/seals/%s/%d/%d" % (node.name, number, sent),
                "POST", b"a seal")
        time.sleep(0.05)


def play(mesh):
    def work(call):
        return WORK_S

    leaving = mesh.add("hall-a", "seal-desk", work=work)
    others = [mesh.add("hall-a", "seal-desk", work=work),
              mesh.add("hall-a", "cellar-view")]
    routes = {"r-1": route(HOST, "/seals/", "seal-desk", kind="unsafe")}
    mesh.store.put_config(config(7, routes, ["seal-desk", "cellar-view"]))
    mesh.start()
    for node in mesh.nodes:
        wait_served(mesh, node, HOST, "/seals/0")
    stopped = threading.Event()
    clients = [threading.Thread(target=client, daemon=True,
                                args=(mesh, node, number, stopped))
               for node in others for number in range(CLIENTS)]
    for thread in clients:
        thread.start()
    time.sleep(BOUNDS["stable_window_s"] + 0.5)

    backend = leaving.backend
    late_seq = backend.next_seq()   # sent now, arrives BEAT_LATE_S later
    leaving.beats.stop()
    mesh.record("backend", backend.id, "sends a heartbeat, ready, seq",
                late_seq, "which is on its way")
    backend.draining = True
    if leaving.beats.deregister() != 200:
        raise RuntimeError("the leaving was not acknowledged")
    acknowledged = time.monotonic()
    back = acknowledged
    if TROUBLE:
        time.sleep(KILL_AFTER_S)
        mesh.record("node", leaving.name, "is killed")
        leaving.kill()
        time.sleep(RESTART_AFTER_S)
        leaving.start()
        back = time.monotonic()
        leaving.wait_ready()
    time.sleep(max(0, acknowledged + BEAT_LATE_S - time.monotonic()))
    leaving.beats.send("ready", late_seq)
    time.sleep(max(0, acknowledged + SERVES_ON_S - time.monotonic()))
    stopped.set()
    for thread in clients:
        thread.join(5)

    # Only machines in touch count: the one that was started again counts from
    # stable_window_s after its start.
    bound = acknowledged + BOUNDS["drain_s"]
    in_touch = back + BOUNDS["stable_window_s"] if TROUBLE else bound
    late = [run for run in backend.runs if run[0] > bound]
    judged = [run for run in late if run[0] > in_touch]
    mesh.record("requests that reached the backend later than drain_s after",
                "the acknowledgement:", len(late), "- of these, with all",
                "machines in touch:", len(judged))
    if judged:
        mesh.record("the last of them %.3f s after the acknowledgement" %
                    (judged[-1][0] - acknowledged))
    return len(judged) > 0


main(os.path.dirname(os.path.abspath(__file__)), play)
