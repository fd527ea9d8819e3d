"""Keeps the fleets on one machine apart: each claims the addresses of its processes before a start.

Checkouts that run their tests at the same time use the same addresses. A claim holds against all
fleets in its network namespace, and ends at the latest with the Python process that made it.
"""

import errno
import socket
import time

CLAIM_SECONDS = 600  # longer than any test file holds its addresses
POLL_SECONDS = 0.05


def hold(address, end):
    """Binds a Unix socket that stands for `address`; waits until `end` while another is bound."""
    holder = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    while True:
        try:
            # An abstract name leaves no file behind.
            holder.bind("\0kumquat-fleet/" + address)
            return holder
        except OSError as error:
            if error.errno != errno.EADDRINUSE or time.monotonic() >= end:
                holder.close()
                raise RuntimeError(f"cannot claim {address}, which another fleet may use") from error
        time.sleep(POLL_SECONDS)


class AddressClaim:
    """Holds addresses until release(); waits at first while other claims hold some of them."""

    def __init__(self, addresses, seconds=CLAIM_SECONDS):
        self.holders = []
        end = time.monotonic() + seconds
        try:
            # All claims take them in the same order, so that no two wait for each other.
            for address in sorted(set(addresses)):
                self.holders.append(hold(address, end))
        except RuntimeError:
            self.release()
            raise

    def release(self):
        for holder in self.holders:
            holder.close()
        self.holders = []
