"""The store is silent for a moment as a key is taken away."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'standin-2'))
import standin  # noqa: E402

SILENT_S = 0.15
# Machines are in touch again once the store has been stable for so long; versions are in force by then.
STABLE_S = standin.BOUNDS['stable_window_ms'] / 1000
APPLY_S = standin.BOUNDS['config_apply_ms'] / 1000
WATCHED_S = 12
OTHER_KEY = 'key-of-the-insurer'


def config(version, keys):
    state = standin.desired([standin.route('item', 'stock', 'non_idempotent', 4000)],
                            [standin.plain_service('stock')], version)
    state['tenants'][0].update(api_keys=keys, rate_per_s=1_000_000, burst=1_000_000)
    return state


async def answer(engine, message, _):
    attempt = message.headers['corianderyoke-attempt-id']
    engine.arrived.append(attempt)
    await asyncio.sleep(0.02)
    return standin.response(200, b'x' * 800, [('Corianderyoke-Attempt-Id', attempt), standin.seal()])


async def ask(daemon):
    """Sends a request with the key that is taken away. Returns the status."""
    attempt, raw = standin.request('POST', '/item/1', 2000)
    reader, writer = await asyncio.open_connection(daemon.ip, daemon.front)
    writer.write(raw)
    message = await asyncio.wait_for(standin.read_message(reader), 3)
    writer.close()
    return attempt, message.first.split(' ')[1] if message else 'closed'


async def calm_moment(store, engines):
    """Waits until the lease has just been renewed and no engine is about to write its entry."""
    for _ in range(2000):
        now = time.monotonic()
        renewed = now - store.writes.get('leases', 0)
        if renewed < 0.02 and all(0.05 < now - engine.beaten < 0.9 for engine in engines):
            return
        await asyncio.sleep(0.005)
    raise standin.Unable('no calm moment')


async def main(record, trouble, daemons):
    store = standin.Store()
    await store.listen()
    store.put('op', 'config', config(7, [standin.KEY, OTHER_KEY]))
    engines = [standin.Engine(store, 'stock', record, answer) for _ in range(2)]
    for engine in engines:
        await engine.listen()
    for number in (1, 2, 3):
        daemons.append(standin.Daemon(f'edge-hofdi-{number}', f'{store.ip}:{store.port}', record))
    await asyncio.gather(*(daemon.start() for daemon in daemons))
    await asyncio.sleep(4)
    # An earlier version, after which all machines wait for the next one.
    store.put('op', 'config', config(8, [standin.KEY, OTHER_KEY]))
    await asyncio.sleep(1)
    await calm_moment(store, engines)
    store.silent = trouble
    store.put('op', 'config', config(9, [OTHER_KEY]))
    record.line('the operator writes version 9, without the key that the clients use'
                + (f'; the store is silent from now on for {SILENT_S} s' if trouble else ''))
    await asyncio.sleep(SILENT_S)
    store.silent = False
    acknowledged = time.monotonic()
    record.line(f'the store serves and has acknowledged version 9; calls without an answer: '
                f'{store.swallowed}')
    late, last = [], 0.0
    while time.monotonic() - acknowledged < WATCHED_S:
        for daemon in daemons:
            since = time.monotonic() - acknowledged
            attempt, status = await ask(daemon)
            ran = any(attempt in engine.arrived for engine in engines)
            record.line(f'{since:.2f} s after the acknowledgement {daemon.name}: {attempt} {status}, '
                        f'{"ran" if ran else "did not run"}')
            if ran:
                last = since
            if ran and since > max(STABLE_S, APPLY_S):
                late.append(attempt)
        await asyncio.sleep(0.5)
    record.line(f'{len(late)} requests with the key ran later than {max(STABLE_S, APPLY_S):.0f} s after '
                f'the acknowledgement, the last one after {last:.2f} s')
    return not late


if __name__ == '__main__':
    standin.run_case(main, HERE)
