"""Settings of the C library's allocator, which keep freed memory out of the process."""

import ctypes

import logbook

log = logbook.Logger("memory")

# Parameters of mallopt(3).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# By default each thread may get an arena of its own, up to eight for each core, and
# each of them keeps what its threads have freed.
MAX_ARENAS = 2
# Buffers from this size on are returned to the system at once. Unset, the limit grows
# with the largest buffer freed, up to 32 MB, and freed bodies stay in the process.
MMAP_THRESHOLD_BYTES = 131_072
TRIM_THRESHOLD_BYTES = 1_048_576


def limit_kept_memory() -> None:
    """Makes the allocator return freed memory; does nothing without glibc."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    for option, value in (
        (M_ARENA_MAX, MAX_ARENAS),
        (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES),
        (M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES),
    ):
        if not mallopt(option, value):
            log.warning("the allocator refused option {}", option)
