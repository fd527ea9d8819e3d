"""A loopback TCP proxy that forwards connections and can delay, drop, refuse or reset them."""

import socket
import struct
import threading
import time

READ_BYTES = 65536
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: closing sends a reset


class FaultyProxy(threading.Thread):
    """Forwards connections to one entry, according to `mode`.

    pass:    forwards all data
    delay:   waits `delay` seconds before it forwards each chunk
    silence: drops the data of both directions
    one-way: drops the data that the entry sends
    refuse:  resets new connections
    """

    def __init__(self, entry_address):
        super().__init__(daemon=True)
        host, port = entry_address.split(":")
        self.entry_address = (host, int(port))
        self.mode = "pass"
        self.delay = 0.0
        self.connections = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.start()

    def run(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(caller,), daemon=True).start()

    def close(self):
        self.listener.close()
        self.reset_all()

    def reset_all(self):
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            self.reset(connection)

    def reset(self, connection):
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def serve(self, caller):
        if self.mode == "refuse":
            self.reset(caller)
            caller.close()
            return
        try:
            entry = socket.create_connection(self.entry_address, timeout=5)
        except OSError:
            caller.close()
            return
        entry.settimeout(None)
        with self.lock:
            self.connections.update((caller, entry))
        back = threading.Thread(target=self.forward, args=(entry, caller, True), daemon=True)
        back.start()
        self.forward(caller, entry, False)
        back.join()
        with self.lock:
            self.connections.difference_update((caller, entry))
        caller.close()
        entry.close()

    def forward(self, source, sink, from_entry):
        try:
            while data := source.recv(READ_BYTES):
                if self.mode == "delay":
                    time.sleep(self.delay)
                is_dropped = self.mode == "silence" or (self.mode == "one-way" and from_entry)
                if not is_dropped:
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self.reset(source)
            self.reset(sink)
