"""Measures the peak memory of one gateway while callers overload it.

Prints a row for each kind of caller. `--tree` names another source tree to measure, for
a comparison: `python -m bench.memory_peak --memory-mb 160 --tree ../before`.
"""

import argparse
import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from lagoonrill.platform._headers import VOCABULARY
from standins.metadata_store import MetadataStore, MetadataStoreServer
from standins.platform_objects import configuration, server
from standins.ports import free_port
from standins.scripted_endpoint import ScriptedEndpoint

CALLERS = 150
BODY = 4_194_304
PIECE = b"x" * 65_536
CHUNK = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
SECONDS = 6.0
HEAD = (
    "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
    f"Authorization: {VOCABULARY.key_scheme} key-1\r\n"
    f"{VOCABULARY.request_id}: a\r\n"
).encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = HEAD + b"Content-Length: %d\r\n\r\n"
ALL_BUT_ONE = [PIECE] * 63 + [PIECE[1:]]
# What a caller sends, and the pause after each piece in seconds.
KINDS = {
    "whole bodies": ([LENGTH % BODY, *[PIECE] * 64], 0),
    "all but the last byte": ([LENGTH % BODY, *ALL_BUT_ONE], 0),
    "the same in slow pieces": ([LENGTH % BODY, *ALL_BUT_ONE], 0.05),
    "chunks, 63 of 64": ([CHUNKED, *[CHUNK] * 63], 0),
    "very small chunks": ([CHUNKED, *[b"1\r\nx\r\n" * 512] * 32], 0),
    "10 GB announced": ([LENGTH % 10**10, *[PIECE] * 256], 0),
    "chunks far over the limit": ([CHUNKED, *[CHUNK] * 256], 0),
    "half a head": ([HEAD], 0),
    "nothing": ([], 0),
}


def call(address: tuple[str, int], pieces: list[bytes], pause_s: float) -> None:
    until = time.monotonic() + SECONDS
    with contextlib.suppress(OSError), socket.create_connection(address) as sock:
        sock.settimeout(SECONDS)
        for piece in pieces:
            sock.sendall(piece)
            time.sleep(pause_s)
        time.sleep(max(0.0, until - time.monotonic()))


def measure(tree: Path, store: str, kind: str, memory_mb: int) -> str:
    names = ("callers", "readiness", "peer")
    ports = {name: free_port() for name in names}
    settings = {f"{name}_address": f"127.0.0.1:{ports[name]}" for name in names}
    settings |= {"instance": "a", "zone": "a", "store_address": store}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(settings | {"memory_mb": memory_mb}))
        process = subprocess.Popen(
            [sys.executable, str(tree / "deploy" / "start.py")],
            env={**os.environ, "LAGOONRILL_CONFIG": str(path), "PYTHONPATH": ""},
            stdout=subprocess.DEVNULL,
        )
        time.sleep(3)
        address = ("127.0.0.1", ports["callers"])
        threads = [
            threading.Thread(target=call, args=(address, *KINDS[kind]))
            for _ in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        status = Path(f"/proc/{process.pid}/status").read_text()
        process.kill()
        process.wait()
    peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return f"{int(peak.split()[1]) / 1024:.0f}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tree", type=Path, default=Path(__file__).parents[1])
    parser.add_argument("--memory-mb", type=int, default=430)
    options = parser.parse_args()
    store = MetadataStore()
    store_server = MetadataStoreServer(store)
    endpoint = ScriptedEndpoint(id="i-1", script=["platform_answer"])
    store.put("config", "main", configuration())
    store.put("servers", "i-1", server(Service="desk", Address=endpoint.address))
    for kind in KINDS:
        peak = measure(options.tree, store_server.address, kind, options.memory_mb)
        print(f"| {kind} | {peak} MB |", flush=True)


if __name__ == "__main__":
    main()
