"""Process tests of what members and entries accept: texts against a strict reader of JSON that shares no
code with them, announcements, operators' calls and settings."""

import http.client
import json
import math
import socket
import unittest

from platform_fleet import SERVICES, PlatformFleet, document
from support import wait_until

DOCUMENT_PATH = "/kumquat/v1/document"
TARGETS_PATH = "/kumquat/v1/targets/"
DEEPEST = 64  # lists and objects in each other


class NotStrict(ValueError):
    pass


def strict_json(data):
    """Reads bytes as RFC 8259 does: UTF-8 without a mark, no key twice, no half surrogates, no
    numbers beyond the range of a double. Raises an exception otherwise."""

    def number(text):
        value = float(text)
        if math.isinf(value):
            raise NotStrict(text)
        return value

    def refuse(text):
        raise NotStrict(text)

    def members(pairs):
        if len({key for key, _ in pairs}) != len(pairs):
            raise NotStrict("a key twice")
        return dict(pairs)

    text = data.decode("utf-8", "strict")
    if text.startswith("\ufeff") or "\0" in text:
        raise NotStrict("a mark or a NUL")
    value = json.loads(text, strict=True, parse_float=number, parse_constant=refuse,
                       object_pairs_hook=members)
    json.dumps(value, ensure_ascii=False).encode("utf-8")  # fails for half of a surrogate pair
    if depth(value) > DEEPEST:
        raise NotStrict("nested too deeply")
    return value


def depth(value):
    if isinstance(value, dict):
        value = list(value.values())
    return 1 + max(map(depth, value), default=0) if isinstance(value, list) else 0


def is_strict(data):
    try:
        strict_json(data)
        return True
    except (ValueError, RecursionError):
        return False


def with_note(version, note):
    """The bytes of a document with one more member, which the product doesn't read."""
    return json.dumps(document(version)).encode().replace(b'"Limits"', b'"note": ' + note
                                                          + b', "Limits"', 1)


def odd_documents(version):
    """Texts that a lenient reader may take, and unusual ones that are valid."""
    plain = json.dumps(document(version)).encode()
    texts = [plain, b"", b" ", b"\xef\xbb\xbf" + plain, plain + b"}", plain + plain, plain + b"\0",
             plain + b" // end", b"/* c */" + plain, plain[:-1] + b",}", plain[:-1],
             plain.replace(b'"Limits"', b'"Version": "7", "Limits"', 1),
             plain.replace(b'"Limits"', b'"\\u0056ersion": "7", "Limits"', 1),
             plain.replace(b'"Limits"', b"Limits", 1), b"\r\n\t " + plain + b" \n"]
    for piece in (b"\xff", b"\xc0\xaf", b"\xed\xa0\x80", b"\xf4\x90\x80\x80", b"\xe2\x82", b"\n", b"\x01",
                  b"\\ud800", b"\\udc00", b"\\ud800\\u0041", b"\\x", b"\\u12", b"\xf0\x9f\x8d\x8a",
                  b"\\ud83c\\udf4a", b"\\u0000"):
        texts.append(with_note(version, b'"' + piece + b'"'))
    for value in (b"01", b"1.", b".5", b"+1", b"1e400", b"1e-400", b"-", b"NaN", b"Infinity", b"-0", b"1E+2",
                  b"123456789012345678901234567890", b"tru", b"null", b"[1,]", b"[,]", b"{}", b"[[],[{}]]",
                  b"[" * 1000 + b"]" * 1000, b"[" * 100_000, b"[" * 40 + b"]" * 40):
        texts.append(with_note(version, value))
    return texts


def rule_breakers(version):
    """Documents that can be read but are invalid."""

    def changed(change):
        value = document(version)
        change(value, value["Listeners"][0]["Rules"][0])
        return value

    def second_host(name):
        def change(value, _):
            value["Listeners"].append(dict(value["Listeners"][0], Hostname=name))
        return change

    host = document(1)["Listeners"][0]["Hostname"]
    changes = [second_host(host), second_host(host.upper()), second_host(host + ":80"), second_host(""),
               second_host(":80"),
               lambda value, rule: rule["Action"].update(Service="nobody"),
               lambda value, rule: rule["Action"].update(TrafficSplit=[{"Service": "nobody", "Weight": 1}]),
               lambda value, rule: rule["Action"].update(
                   Service="nobody", TrafficSplit=[{"Service": "catalogue", "Weight": 1}]),
               lambda value, rule: rule["Action"].update(Attempts=0),
               lambda value, rule: rule["Action"].update(Timeout="99999999999999999999ms"),
               lambda value, rule: rule.update(TargetLatency="63000ms"),
               lambda value, rule: rule.update(TargetLatency="99999999999999999999ms"),
               lambda value, rule: rule.update(RouteType="odd")]
    return [changed(change) for change in changes]


class DocumentFleet(PlatformFleet):
    """Has loopback addresses of its own, and members that write snapshots often."""

    def loopback_address(self, name):
        return f"127.0.{61 if name.startswith('control') else 62}.{10 + int(name.split('-')[1])}"

    def template_fields(self, name, first_start):
        # The template fills this value in as it is, so that one more setting can follow it.
        return dict(super().template_fields(name, first_start),
                    FaultTolerance={"Machines": '1, "snapshotEveryEntries": 10'})


class Documents(unittest.TestCase):
    def setUp(self):
        self.fleet = DocumentFleet(base=2950)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.pids = {name: process.pid for name, process in self.fleet.processes.items()}

    def put(self, member, data):
        return self.fleet.call(self.fleet.control_addresses[member], "PUT", DOCUMENT_PATH, data)[0]

    def read(self, member):
        status, _, data = self.fleet.call(self.fleet.control_addresses[member], "GET", DOCUMENT_PATH)
        return data if status == 200 else None

    def check_nothing_ended(self):
        for name, process in self.fleet.processes.items():
            self.assertIsNone(process.popen.poll(), f"{name} ended by itself")
            self.assertEqual(process.pid, self.pids[name])

    def test_a_document_that_a_strict_reader_refuses_is_never_confirmed(self):
        confirmed = self.read(0)
        accepted = 0
        for number, text in enumerate(odd_documents(0x1000)):
            member = number % 3
            data = text.replace(b'"00001000"', b'"%08x"' % (0x1000 + number))
            valid = is_strict(data)
            shown = data[:60] + b" ... " + data[-60:]
            self.assertEqual(self.put(member, data), 200 if valid else 400, shown)
            confirmed = data if valid else confirmed
            accepted += valid
            self.assertEqual(self.read((member + 1) % 3), confirmed, shown)
        self.assertGreater(accepted, 8)
        for member in range(3):
            self.assertEqual(strict_json(self.read(member)), strict_json(confirmed))
        self.check_nothing_ended()

    def test_a_document_that_breaks_a_rule_is_never_confirmed(self):
        before = self.read(0)
        for number, value in enumerate(rule_breakers(0x2000)):
            self.assertEqual(self.put(number % 3, json.dumps(value).encode()), 400, json.dumps(value))
        for member in range(3):
            self.assertEqual(self.read(member), before)
        self.check_nothing_ended()

    def test_what_was_confirmed_reads_back_after_restarts_and_lost_disks(self):
        for version in range(0x2000, 0x2020):
            self.assertEqual(self.put(version % 3, json.dumps(document(version)).encode()), 200)
        text = with_note(0x3000, b'[1e300, -0.0, "\\ud83c\\udf4a \\u0000 \xc3\xa9", {"k": [[]]}]')
        self.assertEqual(self.put(1, text), 200)
        for member in range(3):
            self.fleet.processes[f"control-{member}"].kill()
        for member in range(3):
            self.fleet.start_control(member)
        for member in range(3):
            wait_until(lambda m=member: self.read_or_none(m) == text, 15, "the document after a restart")
        self.fleet.wipe_member(0)
        wait_until(lambda: self.read_or_none(0) == text, 20, "the document on an empty disk")

    def read_or_none(self, member):
        try:
            return self.read(member)
        except OSError:
            return None

    # Announcements.

    def announce(self, member, name, body, method=b"PUT"):
        """Sends an announcement with any bytes as its name; returns the status, 0 when there is none."""
        host, port = self.fleet.control_addresses[member].split(":")
        with socket.create_connection((host, int(port)), 5) as connection:
            connection.settimeout(5)
            connection.sendall(method + b" " + TARGETS_PATH.encode() + name + b" HTTP/1.1\r\nHost: c\r\n"
                               b"Content-Length: %d\r\n\r\n" % len(body) + body)
            try:
                answer = http.client.HTTPResponse(connection)
                answer.begin()
                return answer.status
            except (OSError, http.client.HTTPException):
                return 0

    def heartbeat(self, **changes):
        return json.dumps(dict({"Service": "catalogue", "Address": "127.0.0.1:9", "Zone": "zone-0",
                                "Version": "v1", "Slots": 2, "State": "ready", "WarmupLeft": "0ms",
                                "Sequence": 1, "born": 1788450321033}, **changes)).encode()

    def known_targets(self, entry):
        data = self.fleet.call(self.fleet.ready_addresses[entry], "GET", "/kumquat/v1/dump")[2]
        return strict_json(data)["knownTargets"]

    def test_one_odd_announcement_is_refused_alone_and_nobody_stops_following(self):
        plain = self.heartbeat()
        # An entry serves before it knows all targets; only then does one more mean the fresh one.
        before = sum(count for _, count, _ in SERVICES)
        for entry in range(2):
            wait_until(lambda e=entry: self.known_targets(e) == before, 10, "all targets at the entry")
        odd = [b"[" * 100_000, b'{"a":' * 100_000, plain[:-1], plain + b"x",
               plain.replace(b'"zone-0"', b"[" * 100_000), plain.replace(b'"zone-0"', b'"\xff"'),
               plain.replace(b'"zone-0"', b'"\\ud800"'), plain.replace(b'"Slots": 2', b'"Slots": 1e400')]
        odd += [self.heartbeat(**change) for change in (
            {"Address": "127.0.0.1:0"}, {"Address": "127.0.0.1:65536"}, {"Address": "127.0.0.1:99999999999"},
            {"Address": "127.0.0.1:-1"}, {"Address": "127.0.0.1:0x50"}, {"Address": "x" * 10_000},
            {"Slots": 2 ** 31 - 1}, {"Slots": 2 ** 32}, {"Slots": 2 ** 63}, {"Slots": {"a": []}},
            {"Sequence": 2 ** 64}, {"born": 2 ** 63 - 1}, {"born": 10 ** 400}, {"State": {}},
            {"WarmupLeft": "99999999999999999999ms"}, {"Service": None}, {"Zone": "z" * 10_000})]
        for number, body in enumerate(odd):
            self.assertEqual(self.announce(number % 3, b"i-odd%d" % number, body), 400, body[:200])
        for name in (b"i-\xff", b"i" * 2_000, b""):
            self.assertIn(self.announce(0, name, plain), (0, 400), name[:40])
        for body in (b"[" * 100_000, b'{"born":-1}', b'{"born":1e400}', b"\xff"):
            self.assertEqual(self.announce(1, b"i-odd", body, b"DELETE"), 400, body[:40])
        self.assertEqual(self.announce(2, b"i-fresh", self.heartbeat(State="draining")), 200)
        for entry in range(2):
            wait_until(lambda e=entry: self.known_targets(e) == before + 1, 5, "the target at the entry")
        self.assertTrue(self.fleet.all_entries_serve())
        self.check_nothing_ended()

    def test_odd_operators_calls_end_no_member(self):
        for body in (b"", b"x", b"[", b"[" * 100_000, b"7", b"[[]]", b'{"jsonrpc":"2.0","id":{},"method":7}',
                     b'{"jsonrpc":"2.0","id":1,"method":"apply","params":[]}',
                     b'{"jsonrpc":"2.0","id":1,"method":"status","params":' + b"[" * 5000 + b"]" * 5000 + b"}"):
            for member in range(3):
                self.fleet.call(self.fleet.control_addresses[member], "POST", "/kumquat/v1/rpc", body)
        self.check_nothing_ended()
        self.assertIsNotNone(self.read(0))


class BoundsFleet(DocumentFleet):
    """Gives one entry bounds that are fractions, and the other none at all."""

    def template_fields(self, name, first_start):
        fractions = {"RetryBudgetRatio": 0.25, "BudgetSlack": 42.5, "Grace": "6.5s"}
        bounds = dict.fromkeys(fractions, "") if name.endswith("1") else fractions
        return dict(super().template_fields(name, first_start), Bounds=bounds)


class Bounds(unittest.TestCase):
    def test_entries_start_with_a_fractional_retry_budget_and_with_none(self):
        fleet = BoundsFleet(base=2950)
        self.addCleanup(fleet.stop)
        fleet.start()
        for entry in range(2):
            process = fleet.processes[f"entry-{entry}"]
            process.stop()
            process.start()
        wait_until(fleet.all_entries_serve, 20, "all entries to serve")


if __name__ == "__main__":
    unittest.main()
