"""A seeded series of configuration documents in the platform's format, for the hunt."""

import json
import threading

HOSTS = ["quotes.example", "desk.example", "survey.example", "later.example"]
# Targets of all services announce themselves from the start, also of those configured later.
SERVICES = [("ledger", 6), ("dispatch", 4), ("calibrate", 4), ("annex", 2), ("ledgertwo", 4)]
BASE_SERVICES = ["ledger", "dispatch", "calibrate"]
MARKER_HOST = "marker.example"
KEPT_MARKERS = 80


class DocumentSeries:
    """Each version changes the one before; the n-th document also routes /at-least/<version>/."""

    def __init__(self, chooser, max_routes):
        self.random = chooser
        self.max_routes = max_routes
        self.lock = threading.Lock()
        self.routes = {}  # (host, prefix) -> (kind, {service: weight}, timeout)
        self.services = list(BASE_SERVICES)
        self.markers = []
        self.version = 0
        self.versions = []
        self.texts = {}
        self.snapshots = {}
        self.recent = []  # (host, prefix, kind) of routes added, moved or dropped lately
        self.serial = 0
        for host, service, kind in zip(HOSTS, BASE_SERVICES, ("safe", "unsafe", "upload")):
            self.routes[host, f"/{service}/"] = (kind, {service: 1}, 800)

    def next_version(self):
        with self.lock:
            self.version += self.random.choice([1, 1, 2, 5, 17])
            if self.versions:
                self.change()
            self.markers = (self.markers + [self.version])[-KEPT_MARKERS:]
            self.versions.append(self.version)
            self.snapshots[self.version] = dict(self.routes)
            self.texts[self.version] = json.dumps(self.document())
            return self.version

    def change(self):
        steps = ["add", "add", "drop", "move", "split", "timeout", "nest", "grow", "shrink",
                 "service", "host"]
        for _ in range(self.random.choice([1, 1, 2, 4])):
            getattr(self, "change_" + self.random.choice(steps))()

    def note(self, key, kind):
        self.recent = (self.recent + [(key[0], key[1], kind)])[-60:]

    def add_route(self, host, prefix):
        kind = self.random.choice(["safe", "safe", "unsafe", "upload"])
        self.routes[host, prefix] = (kind, {self.random.choice(self.services): 1}, 600)
        self.note((host, prefix), kind)

    def some_route(self):
        fixed = [k for k in self.routes if k[1].count("/") > 2 or k[1][1:-1] not in BASE_SERVICES]
        return self.random.choice(fixed) if fixed else None

    def change_add(self):
        self.serial += 1
        self.add_route(self.random.choice(HOSTS), f"/added{self.serial}/")

    def change_nest(self):
        host, prefix = self.random.choice(list(self.routes))
        self.serial += 1
        self.add_route(host, f"{prefix}in{self.serial}/")

    def change_host(self):
        self.serial += 1
        self.add_route(f"host{self.serial}.example", "/")

    def change_drop(self):
        key = self.some_route()
        if key:
            kind = self.routes.pop(key)[0]
            self.note(key, kind)

    def change_move(self):
        key = self.some_route()
        if key:
            kind, _, timeout = self.routes[key]
            self.routes[key] = (kind, {self.random.choice(self.services): 1}, timeout)
            self.note(key, kind)

    def change_split(self):
        key = self.some_route()
        if key and len(self.services) > 1:
            parts = self.random.sample(self.services, 2)
            kind, _, timeout = self.routes[key]
            self.routes[key] = (kind, {parts[0]: 90, parts[1]: 10}, timeout)
            self.note(key, kind)

    def change_timeout(self):
        key = self.some_route()
        if key:
            kind, services, _ = self.routes[key]
            self.routes[key] = (kind, services, self.random.choice([400, 800, 1500]))

    def change_grow(self):
        for _ in range(min(self.random.choice([50, 200, 420]), self.max_routes - len(self.routes))):
            self.change_add()

    def change_shrink(self):
        if self.random.random() < 0.4:
            for key in [k for k in self.routes if k[1].startswith("/added")][:-30]:
                del self.routes[key]

    def change_service(self):
        """Adds, removes or reorders services; routes of a removed one move to another."""
        extra = [name for name, _ in SERVICES if name not in self.services]
        if extra and self.random.random() < 0.6:
            position = self.random.randrange(len(self.services) + 1)
            self.services.insert(position, self.random.choice(extra))
            self.change_add()
        elif len(self.services) > 3:
            gone = self.random.choice([s for s in self.services if s not in BASE_SERVICES])
            self.services.remove(gone)
            for key, (kind, services, timeout) in self.routes.items():
                if gone in services:
                    self.routes[key] = (kind, {self.random.choice(self.services): 1}, timeout)
                    self.note(key, kind)
        else:
            self.random.shuffle(self.services)

    def document(self):
        listeners = {}
        for number, ((host, prefix), (kind, services, timeout)) in enumerate(self.routes.items()):
            action = {"Timeout": f"{timeout}ms", "Attempts": 2}
            if len(services) == 1:
                action["Service"] = next(iter(services))
            else:
                action["TrafficSplit"] = [{"Service": s, "Weight": w} for s, w in services.items()]
            rule = self.rule(f"r-{host}{prefix}", kind, prefix, action)
            listeners.setdefault(host, []).append(rule)
        action = {"Timeout": "600ms", "Attempts": 2, "Service": "ledger"}
        listeners[MARKER_HOST] = [self.rule(f"m-{v:x}", "safe", f"/at-least/{v:x}/", action)
                                  for v in self.markers]
        limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms",
                  "IdleTimeout": "15000ms"}
        clusters = [{"Name": name, "HealthPath": "/health", "MaxConnections": 260,
                     "Protocol": "h1", "Tls": False} for name in self.services]
        return {"Version": f"{self.version:08x}", "Limits": limits, "Clusters": clusters,
                "Listeners": [{"Hostname": h, "Rules": rules} for h, rules in listeners.items()]}

    @staticmethod
    def rule(name, kind, prefix, action):
        return {"Name": name, "RouteType": kind, "TargetLatency": "200ms", "Priority": 1,
                "Match": {"PathPrefix": prefix}, "Action": action}

    def text(self, version):
        return self.texts[version]

    def older(self, chooser):
        return chooser.choice(self.versions[-20:])

    def marker(self, version):
        return MARKER_HOST, f"/at-least/{version:x}/x"

    def marker_holds(self, version, newest):
        """True when every version up to the newest routes the marker of `version`."""
        with self.lock:
            return sum(version < v <= newest for v in self.versions) < KEPT_MARKERS - 1

    def route_count(self):
        return len(self.routes)

    def method_of(self, kind):
        return "GET" if kind == "safe" else "POST"

    def random_request(self, chooser):
        with self.lock:
            if self.recent and chooser.random() < 0.7:
                host, prefix, kind = chooser.choice(self.recent)
            else:
                host, prefix = chooser.choice(list(self.routes))
                kind = self.routes[host, prefix][0]
        return host, prefix + "x", self.method_of(kind)

    def sample_of_newest(self, chooser, count):
        with self.lock:
            keys = list(self.routes)
            picked = chooser.sample(keys, min(count, len(keys)))
            picked += [key for key in keys if key[0].startswith("host")][:5]
            return [(host, prefix + "x", self.method_of(self.routes[host, prefix][0]))
                    for host, prefix in picked]

    def services_between(self, host, path, oldest, newest):
        """What the versions from `oldest` to `newest` allow: services, or None for no route."""
        with self.lock:
            chosen = [v for v in self.versions if oldest <= v <= newest]
            allowed = set()
            for version in chosen:
                allowed |= self.match(self.snapshots[version], host, path)
            return allowed

    @staticmethod
    def match(routes, host, path):
        end = path.rfind("/")
        while end >= 0:
            route = routes.get((host, path[:end + 1]))
            if route:
                return set(route[1])
            end = path.rfind("/", 0, end) if end > 0 else -1
        return {None}
