"""The requests of connection_hunt's callers, and what must hold of each response."""

from platform_fleet import HOST
from soak import NOT_RUN_STATUSES

# Path, method and length of the body.
LOOKUP, LARGE, SLOW = "/lookup/x", "/lookup/x?size=30000", "/lookup/s?work=1200000"
KINDS = ((LOOKUP, "GET", None), (LOOKUP, "GET", None), (LARGE, "GET", None), (LOOKUP, "HEAD", None),
         (SLOW, "GET", None), ("/lookup/p", "POST", 100), ("/book/x", "POST", 300),
         ("/book/x?work=500000", "POST", 1), ("/send/x", "POST", 60_000), ("/send/x", "POST", 200),
         ("/nowhere/x", "GET", None), ("/lookup/poison", "GET", None))
STALLED = ("/book/x", "POST", 1000)


class Sent:
    """A request, and what its caller saw of it."""

    def __init__(self, request_id, path, method, size):
        self.request_id = request_id
        self.path = path
        self.method = method
        self.size = size
        self.how = ""  # its caller went about it
        self.status = 0
        self.fault = ""  # of the response
        self.error = ""  # instead of a response
        self.ended = ""  # the time of that error
        self.waited_s = 0.0  # for that error

    def is_safe(self):
        return self.path.startswith("/lookup/")

    def take(self, status, headers, body):
        self.status = status
        echoed = headers.get("Kumquatdeal-Request-Id", self.request_id if status != 200 else None)
        is_routed = self.path.startswith(("/lookup/", "/book/", "/send/"))
        if self.request_id and echoed != self.request_id:
            self.fault = f"the response belongs to {echoed}"
        elif self.request_id and (status == 400 or (status == 404) == is_routed
                                  and status not in NOT_RUN_STATUSES):
            self.fault = f"status {status} for {self.path}"
        elif status == 200 and self.method != "HEAD":
            begin = f'{{"path":"{self.path}","received":{self.size or 0}}}'.encode()
            is_whole = body.startswith(begin) and (self.path != LARGE or len(body) == 30_000)
            self.fault = "" if is_whole else f"the response has the body {body[:80]}"


def make_request(connection, kind, chooser):
    """A request with a new ID, and its bytes: the header and the body."""
    path, method, size = kind
    connection.count += 1
    request_id = f"{connection.number:08x}{connection.count:08x}"
    if path == "/lookup/poison":
        path += "?" + request_id
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Kumquatdeal-Deadline-Ms: 2500",
             f"Kumquatdeal-Request-Id: {request_id}"]
    body = b"b" * (size or 0)
    if size and chooser.random() < 0.5:
        lines.append("Transfer-Encoding: chunked")
        cut = chooser.randrange(size)
        parts = [part for part in (body[:cut], body[cut:]) if part]
        body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
    elif size:
        lines.append(f"Content-Length: {size}")
    if size and chooser.random() < 0.3:
        lines.append("Expect: 100-continue")
    header = ("\r\n".join(lines) + "\r\n\r\n").encode()
    return Sent(request_id, path, method, size), header, body
