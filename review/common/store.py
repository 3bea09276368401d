"""Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store")."""

import asyncio
import base64
import json

from common.http import Server

PAGE_ITEMS = 500


class Store:
    def __init__(self, record, address, port):
        self.record = record
        self.revision = 100
        self.items = {}  # key -> (value bytes, revision, created)
        self.events = []  # (revision, key, value bytes or None, created)
        self.changed = asyncio.Event()
        self.server = Server(address, port, self.handle)

    async def start(self):
        await self.server.start()

    # Writes by the operator and by minions, which reach the store on paths of their own.

    def put(self, key, value):
        self.apply([(key, json.dumps(value).encode())], [])

    def get(self, key):
        item = self.items.get(key)
        return json.loads(item[0]) if item else None

    def remove(self, key):
        if key in self.items:
            self.apply([], [key])

    def apply(self, puts, deletes):
        self.revision += 1
        for key, value in puts:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created)
            self.events.append((self.revision, key, value, created))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key, None, 0))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def encode(self, key, value, revision, created):
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created,
                "lease": 0}

    async def handle(self, request):
        if request.path == "/v1/kv-key":
            return self.read(request.query["key"])
        if request.path == "/v1/kv-range":
            return self.list(request.query.get("prefix", ""), request.query.get("after", ""))
        if request.path == "/v1/kv-watch":
            return await self.watch(request.query.get("prefix", ""), int(request.query["after"]),
                                    int(request.query["wait_ms"]))
        if request.path == "/v1/kv-txn":
            return self.commit(request.json())
        return 404, {}

    def read(self, key):
        item = self.items.get(key)
        if item is None:
            return 404, {"current_rev": self.revision}
        return 200, {**self.encode(key, *item), "current_rev": self.revision}

    def list(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.encode(key, *self.items[key]) for key in keys[:PAGE_ITEMS]]
        return 200, {"items": page, "has_more": len(keys) > PAGE_ITEMS, "current_rev": self.revision}

    async def watch(self, prefix, after, wait_ms):
        end = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            found = []
            for revision, key, value, created in reversed(self.events):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    found.append({"key": key, "revision": revision, "removed": True} if value is None
                                 else self.encode(key, value, revision, created))
            left = end - asyncio.get_running_loop().time()
            if found or left <= 0:
                return 200, {"events": found[::-1], "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, body):
        expected = body.get("expected_rev", [])
        current = {row["key"]: self.items[row["key"]][1] if row["key"] in self.items else 0 for row in expected}
        if any(current[row["key"]] != row["revision"] for row in expected):
            rows = [self.encode(row["key"], *self.items[row["key"]]) for row in expected if row["key"] in self.items]
            return 412, {"items": rows, "current_rev": self.revision}
        puts = [(row["key"], base64.b64decode(row.get("value", ""))) for row in body.get("puts", [])]
        if any(key.startswith(("op/", "servers/")) for key, _ in puts):
            return 403, {}
        self.apply(puts, body.get("deletes", []))
        return 200, {"revision": self.revision}
