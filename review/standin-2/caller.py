"""Callers that take large answers over slow lines of their own."""

import asyncio
import socket
import time

import standin


class Caller:
    """A caller on a kept channel. `path` has a large answer, `/item/1` a small one."""

    def __init__(self, number, daemon, record, rate):
        self.number, self.daemon, self.record, self.rate = number, daemon, record, rate
        self.begun, self.result, self.got, self.attempt = asyncio.Event(), None, 0, None

    async def connect(self):
        """Opens a channel over an ordinary Ethernet link and makes it a kept one."""
        link = socket.socket()
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        link.setblocking(False)
        await asyncio.get_running_loop().sock_connect(link, (self.daemon.ip, self.daemon.front))
        self.reader, self.writer = await asyncio.open_connection(sock=link, limit=32_768)
        _, raw = standin.request('POST', '/item/1', 4000)
        self.writer.write(raw)
        message = await standin.read_message(self.reader)
        if message is None or ' 200 ' not in message.first:
            raise standin.Unable('a small request is not served')

    async def large(self, timeout_ms):
        """Takes a large answer as fast as the caller's line allows."""
        self.attempt, raw = standin.request('POST', '/list/1', timeout_ms)
        sent = time.monotonic()
        self.writer.write(raw)
        self.record.line(f'caller {self.number}: sends {self.attempt}')
        head = await standin.read_head(self.reader)
        if head is None or ' 200 ' not in head[0] or 'corianderyoke-response-seal' not in head[1]:
            self.result = f'no success: {head and head[0]}'
        else:
            await self.take(int(head[1]['content-length']))
        self.begun.set()
        self.record.line(f'caller {self.number}: {self.attempt}: {self.result}, '
                         f'{time.monotonic() - sent:.2f} s after it was sent')
        self.writer.close()

    async def take(self, length):
        self.begun.set()
        began = time.monotonic()
        try:
            while self.got < length:
                piece = await self.reader.read(16_384)
                if not piece:
                    break
                self.got += len(piece)
                ahead = self.got / self.rate - (time.monotonic() - began)
                await asyncio.sleep(max(0.0, ahead))
        except ConnectionError:
            pass
        whole = self.got == length
        self.result = '200, whole' if whole else f'200, cut after {self.got} of {length} bytes'

    def is_cut(self):
        return 'cut' in self.result


def answer_of(size):
    """Returns the behaviour of an engine that works for 30 ms and gives its whole answer at once."""
    async def answer(engine, message, _):
        await asyncio.sleep(0.03)
        attempt = message.headers['corianderyoke-attempt-id']
        length = size if message.first.startswith('POST /list/') else 800
        engine.arrived.append(attempt)
        engine.record.line(f'engine {engine.id}: ran {attempt}, gives {length} bytes')
        return standin.response(200, b'x' * length,
                                [('Corianderyoke-Attempt-Id', attempt), standin.seal()])
    return answer


async def start(record, daemons, size, timeout_ms, machines):
    """Starts a store, a service of two engines and the machines."""
    store = standin.Store()
    await store.listen()
    store.put('op', 'config', standin.desired(
        [standin.route('list', 'stock', 'non_idempotent', timeout_ms),
         standin.route('item', 'stock', 'non_idempotent', 4000)], [standin.plain_service('stock')]))
    engines = [standin.Engine(store, 'stock', record, answer_of(size)) for _ in range(2)]
    for engine in engines:
        await engine.listen()
    for number in range(1, machines + 1):
        daemons.append(standin.Daemon(f'edge-hofdi-{number}', f'{store.ip}:{store.port}', record))
    await asyncio.gather(*(daemon.start() for daemon in daemons))
    await asyncio.sleep(3.5)
    return engines
