"""The operator replaces a model by another one in the desired state, while engines still hold it."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'standin-2'))
import standin  # noqa: E402

KEPT, OLD, NEW = 'daka510000', 'rada7437b5', 'ravo486f6a'
ENGINES = 3
STREAM_S = 4.0


def model(name):
    return {'name': name, 'weights_mb': 72700.0, 'load_s': 6.0, 'adapters': 0, 'adapter_mb': 66.0,
            'warm_s': 0.32, 'disk_s': 0.42}


def spec(models):
    return {'slots': 64, 'kv_capacity': 236735, 'weights_mb': 160000.0, 'adapter_slots': 8,
            'loads_per_s': 2.8, 'host_mb': 150000.0, 'disk_mb': 520000.0,
            'models': [model(name) for name in models]}


def config(version, models):
    service = {**standin.plain_service('glerrad'), 'max_conns': 370, 'engine': spec(models)}
    route = standin.route('advice', 'glerrad', 'streaming', 11_000, sticky=True)
    state = standin.desired([route], [service], version)
    state['tenants'][0].update(rate_per_s=1_000_000, burst=1_000_000)
    return state


async def answer(engine, message, writer):
    """Streams for some seconds."""
    attempt, name = (message.headers[f'corianderyoke-{key}'] for key in ('attempt-id', 'model'))
    if name not in engine.models:
        return engine.misdirected(message)
    engine.runs[name] = engine.runs.get(name, 0) + 1
    engine.arrived.append(attempt)
    try:
        head = (f'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n'
                f'Corianderyoke-Attempt-Id: {attempt}\r\n{": ".join(standin.seal())}\r\n\r\n')
        writer.write(head.encode())
        for number in range(1, 21):
            event = f'id: {number}\ndata: a part\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(STREAM_S / 20)
        return b'0\r\n\r\n'
    finally:
        engine.runs[name] -= 1


async def ask(daemon, name, record, results):
    """Asks for a stream of a model and records how it ends."""
    part = f'{random.getrandbits(32):08x}'
    attempt, raw = standin.request('POST', '/advice/1', 11_000, b'prompt', [
        ('Corianderyoke-Model', name), ('Corianderyoke-Token-Count', '100,20'),
        ('Corianderyoke-Prompt-Prefix', f'{part}:100')])
    try:
        reader, writer = await asyncio.open_connection(daemon.ip, daemon.front)
        writer.write(raw)
        head = await standin.read_head(reader)
        status = head[0].split(' ')[1] if head else 'closed'
        body = b''
        if status == '200':
            while not body.endswith(b'\r\n0\r\n\r\n'):
                piece = await reader.read(4096)
                if not piece:
                    status = f'200, cut after {body.count(b"id:")} events'
                    break
                body += piece
        writer.close()
    except OSError as error:
        status = type(error).__name__
    results[attempt] = status
    record.line(f'client: {attempt} for {name}: {status}')


async def main(record, trouble, daemons):
    store = standin.Store()
    await store.listen()
    store.put('op', 'config', config(7, [KEPT, OLD, NEW]))
    engines = [standin.Engine(store, 'glerrad', record, answer, [KEPT, OLD], spec([KEPT, OLD, NEW]))
               for _ in range(ENGINES)]
    for engine in engines:
        await engine.listen()
    for number in (1, 2):
        daemons.append(standin.Daemon(f'edge-hofdi-{number}', f'{store.ip}:{store.port}', record))
    await asyncio.gather(*(daemon.start() for daemon in daemons))
    await asyncio.sleep(4)
    results = {}
    tasks = [asyncio.ensure_future(ask(daemons[n % 2], KEPT, record, results)) for n in range(12)]
    await asyncio.sleep(0.5)
    # The clients of the old model go over to the new one.
    listed = [KEPT, NEW] if trouble else [KEPT, OLD, NEW]
    store.put('op', 'config', config(9, listed))
    record.line(f'the operator writes version 9, which lists the models {listed}')
    await asyncio.sleep(0.5)
    tasks += [asyncio.ensure_future(ask(daemons[n % 2], NEW, record, results)) for n in range(4)]
    await asyncio.gather(*tasks)
    overloads = sum(len(engine.overloads) for engine in engines)
    cut = sum(1 for result in results.values() if 'cut' in result)
    record.line(f'{overloads} orders to load more than weights_mb; {cut} of {len(results)} streams cut')
    return not overloads


if __name__ == '__main__':
    standin.run_case(main, HERE)
