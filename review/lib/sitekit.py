"""Stand-ins for a small site: discovery, servers and clients, and the proxy as the deploy file starts it.

Everything runs on loopback addresses and free ports, in one asyncio loop, on the real clock. Stand-ins speak
PROTOCOL: lines that end in CRLF; discovery over HTTP/1.1.
"""
import asyncio
import json
import os
import re
import secrets
import shutil
import signal
import subprocess
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, as lines with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = now()

    def line(self, text):
        self.file.write("%8.3f %s\n" % (now() - self.start, text))

    def say(self, text):
        self.line(text)
        try:
            print(text, flush=True)
        except OSError:
            pass  # nobody reads; record.txt has it


def new_id():
    return secrets.token_hex(8)


class Discovery:
    """The list of servers, asked for or watched."""

    def __init__(self, record):
        self.record = record
        self.generation = 1
        self.entries = {}
        self.watches = set()
        self.port = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def known(self):
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def put(self, name, port, lifecycle="in_service", zone="hobart", model="large", weight=1.0, started=0):
        entry = {"instanceId": name, "hostPort": "127.0.0.1:%d" % port, "zone": zone, "machineType": model,
                 "cell": 0, "lifecycle": lifecycle, "weight": weight, "startedAtMs": started}
        self.generation += 1
        if lifecycle == "terminated":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        self.record.line("discovery %s %s at %s" % (name, lifecycle, entry["hostPort"]))
        for writer in list(self.watches):
            self.tell(writer, {"generation": self.generation, "reset": False, "instances": [entry]})

    def tell(self, writer, message):
        self.chunk(writer, json.dumps(message) + "\n")

    @staticmethod
    def chunk(writer, text):
        data = text.encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            path = head.split(" ")[1]
            if "stream=1" not in path:
                body = json.dumps(self.known()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
                return
            index = int(re.search(r"index=(\d+)", path).group(1))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            if index == self.generation:
                self.chunk(writer, "\n")
            else:
                self.tell(writer, self.known())
            self.watches.add(writer)
            while True:
                await writer.drain()
                await asyncio.sleep(2)
                self.chunk(writer, "\n")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


SETTINGS = {
    "azs": ["hobart", "launceston", "devonport"],
    "balancers": 3,
    "clientHabits": {"marksRetry": False},
    "familyInfo": {"groups": True, "messageAim": [150000.0, 60000.0, 150000.0, 250000.0], "mode": "proxy",
                   "park": 0, "tellsDelay": True, "tellsLoad": False, "tenantQuotaConnections": []},
    "flavors": ["large", "medium", "small"],
    "goal": {"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.25},
    "loadReport": {"columns": ["served_ps", "busy_reqs", "x0"], "via": "on_probe"},
    "locality": 0,
    "membershipMode": "subscribe",
    "overShareWorth": 0.1,
    "permissions": {"cancelling": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 15000, "dialTimeout": 150000,
                    "keepalive": 5000000, "maxOpen": 1000000, "maxRetryAfter": 2000000, "maxStreams": 1048576,
                    "mayProbe": True, "mayTell": False, "parallelTries": False, "retryAfter": True, "tryLimit": 3},
    "prices": {"connection": 0.0, "crossZone": 0.03, "handshake": 0.0, "lateFail": 0.038, "membershipMode": 0.0,
               "moves": 0.01, "origin": 0.0, "peer": 0.0, "probe": 0.0023, "waste": 0.2},
    "profiles": [
        {"aim": 500000, "dedupWindow": 5000000, "gain": 1.0, "group": "all", "hardLimit": 2000000,
         "lateWorth": 0.0, "name": "menu-feed", "semantics": "idempotent", "streamed": True},
        {"aim": 300000, "dedupWindow": 5000000, "gain": 3.0, "group": "all", "hardLimit": 1800000,
         "lateWorth": 0.0, "name": "order-sync", "semantics": "idempotent", "streamed": True},
        {"aim": 500000, "dedupWindow": 5000000, "gain": 3.0, "group": "all", "hardLimit": 3000000,
         "lateWorth": 0.0, "name": "delivery-track", "semantics": "idempotent", "streamed": True},
        {"aim": 800000, "dedupWindow": 5000000, "gain": 5.0, "group": "all", "hardLimit": 4800000,
         "lateWorth": 0.0, "name": "stock-set", "semantics": "idempotent", "streamed": True}],
    "rules": {"answerSlack": 20000, "askEvery": 10000000, "coldFrom": 0.35, "drainGrace": 1000000,
              "fallMultiple": 4.0, "overloadFor": 2000000, "warmWithin": 9000000},
    "slotNo": 0, "tenants": [], "tick": 5000, "tier": 0, "tiers": ["live-link"], "weightSource": "rough",
    "workload": "conn", "worthBy": "request"}


def run_command():
    text = open(os.path.join(ROOT, "deploy/balancer.toml")).read()
    return re.search(r'^run = "(.*)"$', text, re.M).group(1)


class Proxy:
    """A proxy, started by `run` of the deploy file."""

    def __init__(self, record, folder, name, discovery, settings=None, memory_mb=192, sockets=1024, fd0=None,
                 environment=None):
        self.record = record
        self.folder = folder
        self.name = name
        self.log = os.path.join(folder, name + ".log")
        self.config = os.path.join(folder, name + ".json")
        self.settings = settings or SETTINGS
        self.memory_mb = memory_mb
        self.sockets = sockets
        self.discovery = discovery
        self.environment = environment or {}
        self.fd0 = fd0
        self.process = None
        self.port = 0
        self.admin = 0

    def write_config(self, **changes):
        config = {"name": self.name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:%d" % self.discovery.port,
                  "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
                  "known": self.discovery.known(), "settings": self.settings}
        config.update(changes)
        with open(self.config + ".new", "w") as out:
            json.dump(config, out)
        os.replace(self.config + ".new", self.config)

    async def start(self, listen="127.0.0.1:0"):
        self.write_config(listen=listen)
        environment = dict(os.environ, GW_NAME=self.name, GW_CONFIG=self.config, GW_LISTEN=listen,
                           GW_ADMIN_ADDR="127.0.0.1:0", TMPDIR=self.folder, **self.environment)
        environment.pop("GW_DISCOVERY", None)
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment,
                                        stdin=self.fd0 if self.fd0 is not None else subprocess.DEVNULL,
                                        stdout=subprocess.DEVNULL, stderr=open(self.log, "w"))
        end = now() + 30
        while now() < end:
            text = open(self.log).read()
            listening = re.search(r"listening on 127\.0\.0\.1:(\d+)", text)
            admin = re.search(r"second address 127\.0\.0\.1:(\d+)", text)
            if listening and admin and "lemondeal: ready" in text:
                self.port = int(listening.group(1))
                self.admin = int(admin.group(1))
                self.record.line("proxy %s pid %d ready" % (self.name, self.process.pid))
                return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRun("proxy %s did not start: %s" % (self.name, open(self.log).read()[-2000:]))

    def signal(self, number):
        self.record.line("proxy %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def ask(self, call, timeout=2):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        writer.write(call.encode() + b"\r\n")
        text = await asyncio.wait_for(reader.read(-1), timeout)
        writer.close()
        return text.decode()

    def rss_mb(self):
        try:
            text = open("/proc/%d/status" % self.process.pid).read()
            return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) // 1024
        except (OSError, AttributeError):
            return 0

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    pass


async def run_case(main, record_path):
    """Runs a case with a temporary folder; returns the exit code."""
    record = Record(record_path)
    folder = tempfile.mkdtemp()
    proxies = []
    try:
        # Ended from outside: the processes that were started are ended all the same.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(main(record, folder, proxies), 110)
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as e:
        record.say("could not run: %r" % e)
        return 2
    finally:
        for proxy in proxies:
            proxy.kill()
            if os.environ.get("KEEP_LOGS"):
                shutil.copy(proxy.log, os.environ["KEEP_LOGS"])
        shutil.rmtree(folder, ignore_errors=True)


class Server:
    """A link node: answers OPEN with UP and a receipt of its own, each line with a line, STATS with its load."""

    def __init__(self, record, name):
        self.record = record
        self.name = name
        self.port = 0
        self.server = None
        self.receipts = 0
        self.opened = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                if line in (b"STATS\r\n", b"PING\r\n"):
                    writer.write(b"PONG served_ps=1,busy_reqs=1,x0=0.1\r\n" if line[0] == 83 else b"PONG\r\n")
                elif line.startswith(b"OPEN "):
                    self.receipts += 1
                    request = line.split(b" ")[1].decode()
                    self.opened.append(request)
                    self.record.line("server %s run %s" % (self.name, request))
                    writer.write(b"UP %s-%d\r\n" % (self.name.encode(), self.receipts))
                else:
                    writer.write(b"echo " + line)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


async def start_servers(record, discovery, count):
    servers = []
    for i in range(count):
        server = Server(record, "s-%08x" % (7919 * i + 12345))
        await server.start()
        discovery.put(server.name, server.port, zone=("hobart", "launceston", "devonport")[i % 3])
        servers.append(server)
    return servers


# What a case exits with where the rule was broken. Python itself exits with 1 on an error of its own, so `run.sh` takes
# this for 1, and everything but this and 0 for 2.
BROKEN = 10


def main_of_case(main, here):
    """Runs a case and ends this process with its exit code; open connections of the stand-ins go with it."""
    code = 2
    try:
        code = asyncio.run(run_case(main, os.path.join(here, "record.txt")))
    except BaseException:
        traceback.print_exc()
    os._exit(BROKEN if code == 1 else code)
