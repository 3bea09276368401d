"""Stand-in of the platform's interface to machines (PROTOCOL.md, "Machines")."""

import asyncio

from common.http import Server
from common.minion import Minion

MOVE_S = 1.5
UPKEEP_S = 2


class Machine:
    def __init__(self, name, pool, minion, template):
        self.name = name
        self.pool = pool
        self.minion = minion
        self.template = template  # address, port, cpu, mem_mb, labels, zone of each life
        self.state = "up"


class Cloud:
    def __init__(self, site, address, port):
        self.site = site
        self.machines = {}
        self.spare_pools = set()
        self.lives = 0
        self.is_silent = False
        self.upkeeps = set()  # (wave, machine) that have begun
        self.server = Server(address, port, self.handle)

    async def start(self):
        await self.server.start()

    async def add(self, name, pool, address, port, **template):
        machine = Machine(name, pool, None, {"address": address, "port": port, **template})
        self.machines[name] = machine
        await self.begin_life(machine)

    async def begin_life(self, machine):
        """A new minion joins the machine's pool. Machines of a spare pool are off."""
        machine.state = "up"
        if machine.pool in self.spare_pools:
            machine.minion = None
            return
        self.lives += 1
        machine.minion = Minion(self.site, f"i-{machine.name}-{self.lives}", machine.pool, **machine.template)
        self.site.minions.append(machine.minion)
        await machine.minion.start()

    async def handle(self, request):
        if self.is_silent:
            self.site.record("cloud_silent", path=request.path, body=request.raw.decode())
            return None
        if request.path == "/v1/machines":
            rows = []
            for machine in self.machines.values():
                template = machine.template
                rows.append({"machine": machine.name, "pool": machine.pool, "state": machine.state,
                             "zone": template["zone"], "labels": list(template["labels"]),
                             "capacity": {"cpu": template["cpu"], "mem_mb": template["mem_mb"], "gpu": 0},
                             "id": machine.minion.id if machine.minion else None})
            return 200, {"machines": rows, "next_token": None}
        if request.path == "/v1/machine-move":
            return self.move(request.json(), request.headers)
        if request.path == "/v1/machine-upkeep":
            return self.upkeep(request.json(), request.headers)
        return 400, {}

    def move(self, body, headers):
        machine = self.machines.get(body["machine"])
        self.site.record("move", machine=body["machine"], pool=body["pool"],
                         holder=headers.get("x-duty-holder"), token=headers.get("x-fencing-token"))
        if machine is None:
            return 400, {}
        if machine.pool == body["pool"]:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        machine.pool = body["pool"]
        self.go_down(machine, "moving", MOVE_S)
        return 200, {}

    def upkeep(self, body, headers):
        machine = self.machines.get(body["machine"])
        self.site.record("upkeep", machine=body["machine"], wave=body["wave"],
                         holder=headers.get("x-duty-holder"), token=headers.get("x-fencing-token"))
        if machine is None:
            return 400, {}
        if (body["wave"], machine.name) in self.upkeeps:
            return 200, {}
        if machine.name not in self.site.store.get(f"op/wave/{body['wave']}")["machines"]:
            return 409, {"reason": "wave"}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        self.upkeeps.add((body["wave"], machine.name))
        self.go_down(machine, "upkeep", UPKEEP_S)
        return 200, {}

    def go_down(self, machine, state, duration_s):
        """Ends everything on the machine. A new minion joins its pool afterwards."""
        machine.state = state
        if machine.minion:
            machine.minion.crash()
            self.site.store.remove("servers/" + machine.minion.id)
            machine.minion = None
        asyncio.get_running_loop().call_later(
            duration_s, lambda: asyncio.ensure_future(self.begin_life(machine)))
