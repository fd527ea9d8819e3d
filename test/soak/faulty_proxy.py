"""A loopback proxy that passes connections on and, when told, delays, resets, cuts or silences them."""

import socket
import struct
import threading
import time

PART = 65536
RESET = struct.pack("ii", 1, 0)  # linger for no time: closing resets


class FaultyProxy(threading.Thread):
    """Modes: pass, delay, silence (both ways), one-way (answers are lost), refuse."""

    def __init__(self, to):
        super().__init__(daemon=True)
        host, port = to.split(":")
        self.to = (host, int(port))
        self.mode = "pass"
        self.delay = 0.0
        self.open = set()
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
            connections = list(self.open)
        for connection in connections:
            self.reset(connection)

    def reset(self, connection):
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def serve(self, caller):
        if self.mode == "refuse":
            self.reset(caller)
            caller.close()
            return
        try:
            entry = socket.create_connection(self.to, timeout=5)
        except OSError:
            caller.close()
            return
        entry.settimeout(None)
        with self.lock:
            self.open.update((caller, entry))
        back = threading.Thread(target=self.pump, args=(entry, caller, True), daemon=True)
        back.start()
        self.pump(caller, entry, False)
        back.join()
        with self.lock:
            self.open.difference_update((caller, entry))
        caller.close()
        entry.close()

    def pump(self, source, sink, answers):
        try:
            while data := source.recv(PART):
                if self.mode == "delay":
                    time.sleep(self.delay)
                lost = self.mode == "silence" or (self.mode == "one-way" and answers)
                if not lost:
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self.reset(source)
            self.reset(sink)
