"""During an upgrade a bad client uses the id of another client's open request, and is served."""
import asyncio
import os
import signal
import socket
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import sitekit
from sitekit import new_id, now

CLIENTS = 10
DEADLINE_MS = 3000  # delivery-track
OVERLAP = 3.7       # SIGKILL after the longest deadline, taken as 3 s, and 0.7 s


class Attempts:
    """A server's view: the connections that carry an id now."""

    def __init__(self, record):
        self.record = record
        self.out = {}
        self.twice = set()

    def begin(self, request, server):
        self.out[request] = self.out.get(request, 0) + 1
        if self.out[request] > 1:
            self.twice.add(request)
        self.record.line("server %s run %s, attempts out: %d" % (server, request, self.out[request]))

    def end(self, request):
        self.out[request] -= 1


class Server:
    def __init__(self, attempts, name):
        self.attempts = attempts
        self.name = name
        self.receipts = 0
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        request = None
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                if line == b"STATS\r\n":
                    writer.write(b"PONG served_ps=1,busy_reqs=1,x0=0.1\r\n")
                elif line == b"PING\r\n":
                    writer.write(b"PONG\r\n")
                elif line.startswith(b"OPEN ") and request is None:
                    request = line.split(b" ")[1].decode()
                    self.attempts.begin(request, self.name)
                    self.receipts += 1
                    writer.write(b"UP %s-%d\r\n" % (self.name.encode(), self.receipts))
                else:
                    writer.write(b"echo " + line)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if request is not None:
                self.attempts.end(request)
            writer.close()


class UsualClient:
    """Opens a connection and stays: a line every 2 s. Its request is open until it sees MOVE or the end."""

    def __init__(self, record, port):
        self.record = record
        self.port = port
        self.request = new_id()
        self.open = False
        self.writer = None

    async def start(self):
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.write(("OPEN %s %s c=delivery-track,d=%d,g=%s\r\n"
                           % (self.request, new_id(), DEADLINE_MS, new_id())).encode())
        answer = await asyncio.wait_for(reader.readline(), DEADLINE_MS / 1000 + 1)
        self.record.line("usual %s answered %r" % (self.request, answer))
        if not answer.startswith(b"UP "):
            raise sitekit.CannotRun("a usual client is not up: %r" % answer)
        self.open = True
        return asyncio.create_task(self.stay(reader))

    async def stay(self, reader):
        asked = now()
        try:
            while True:
                self.writer.write(b"hello\r\n")
                line = await reader.readline()
                if not line.startswith(b"echo "):
                    break
                await asyncio.sleep(0.05 if now() - asked < 0.2 else 0.2)
        except ConnectionError:
            line = b"(reset)"
        except asyncio.CancelledError:
            line = b"(the test ends)"
        self.open = False
        self.record.line("usual %s ends with %r" % (self.request, line))
        self.writer.close()


async def bad_client(record, port, usual):
    """Uses the id of a client's open request. It is owed an error or a close within 3 s."""
    open_before = usual.open
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(("OPEN %s %s c=delivery-track,d=%d,g=%s\r\n"
                  % (usual.request, new_id(), DEADLINE_MS, new_id())).encode())
    try:
        answer = await asyncio.wait_for(reader.readline(), 3)
    except asyncio.TimeoutError:
        answer = b"(nothing in 3 s)"
    except ConnectionError:
        answer = b""
    served = answer.startswith(b"UP ")
    judged = open_before and usual.open
    record.line("bad client with the id %s answered %r, that request is %s" % (
        usual.request, answer, "open" if judged else "no longer open"))
    await asyncio.sleep(0.3)
    writer.close()
    return served and judged


async def main(record, folder, proxies):
    discovery = sitekit.Discovery(record)
    await discovery.start()
    attempts = Attempts(record)
    for i in range(6):
        server = Server(attempts, "s-%08x" % (7919 * i + 12345))
        await server.start()
        discovery.put(server.name, server.port)
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1024)
    port = listener.getsockname()[1]
    listen = "127.0.0.1:%d" % port

    async def start(name):
        proxy = sitekit.Proxy(record, folder, "n0", discovery, fd0=listener.fileno(),
                              environment={"GW_ACCEPT_FD": "0"})
        proxy.log = os.path.join(folder, name + ".log")
        proxies.append(proxy)
        await proxy.start(listen)
        return proxy

    old = await start("old")
    usual = [UsualClient(record, port) for _ in range(CLIENTS)]
    staying = [await client.start() for client in usual]
    await asyncio.sleep(1)
    if sitekit.TROUBLE:
        new = await start("new")
        end = now() + 6
        while not (await new.ask("ready")).startswith("200"):
            if now() > end:
                raise sitekit.CannotRun("the new process is not ready")
            await asyncio.sleep(0.05)
        record.line("the new process is ready")
        old.signal(signal.SIGTERM)
        await asyncio.sleep(0.05)
    served = await asyncio.gather(*[bad_client(record, port, client) for client in usual])
    if sitekit.TROUBLE:
        end = now() + OVERLAP
        while old.process.poll() is None and now() < end:
            await asyncio.sleep(0.02)
        record.line("the old process has ended: %s" % old.process.poll())
    for task in staying:
        task.cancel()
    judged = sum(served)
    record.say("bad clients: %d, served in place of an error while the request of that id was open: %d; "
               "ids with two attempts out at once: %d" % (CLIENTS, judged, len(attempts.twice)))
    return 1 if judged else 0


sitekit.main_of_case(main, HERE)
