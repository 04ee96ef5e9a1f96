"""Keys are taken away one after the other, and each time the store is silent for a moment."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'standin-2'))
import standin  # noqa: E402

SILENT_S = 0.15
# Machines are in touch again once the store has been stable for so long; versions are in force by then.
STABLE_S = standin.BOUNDS['stable_window_ms'] / 1000
APPLY_S = standin.BOUNDS['config_apply_ms'] / 1000
# For how long a key is tried after its removal, and further if it still works.
TRIED_S = 3.6
WATCHED_S = 12
# No key is taken away later than this, so that the last one can be watched.
END_S = 92
KEYS = [f'key-{number}' for number in range(40)]


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


async def ask(daemon, key):
    """Sends a request with the key. Returns its id and the status."""
    attempt, raw = standin.request('POST', '/item/1', 2000, key=key)
    reader, writer = await asyncio.open_connection(daemon.ip, daemon.front)
    writer.write(raw)
    message = await asyncio.wait_for(standin.read_message(reader), 3)
    writer.close()
    return attempt, message.first.split(' ')[1] if message else 'closed'


async def take_away(key, version, store, trouble, record):
    """Writes the version without the key. Returns the time of its acknowledgement."""
    store.silent, store.swallowed = trouble, []
    store.put('op', 'config', config(version, KEYS[KEYS.index(key) + 1:]))
    record.line(f'the operator writes version {version}, without {key}'
                + (f'; the store is silent from now on for {SILENT_S} s' if trouble else ''))
    await asyncio.sleep(SILENT_S)
    store.silent = False
    record.line(f'the store serves and has acknowledged version {version}; calls without an answer: '
                f'{store.swallowed}')
    return time.monotonic()


async def runs_late(key, acknowledged, daemons, engines, record):
    """Tries the key, and returns whether a request with it ran too late."""
    late, last = [], 0.0
    while time.monotonic() - acknowledged < (WATCHED_S if late else TRIED_S):
        for daemon in daemons:
            since = time.monotonic() - acknowledged
            attempt, status = await ask(daemon, key)
            ran = any(attempt in engine.arrived for engine in engines)
            record.line(f'{since:.2f} s after the acknowledgement {daemon.name}: {key} {attempt} {status}, '
                        f'{"ran" if ran else "did not run"}')
            if ran:
                last = since
            if ran and since > max(STABLE_S, APPLY_S):
                late.append(attempt)
        await asyncio.sleep(0.5)
    if late:
        record.line(f'{len(late)} requests with {key} ran later than {max(STABLE_S, APPLY_S):.0f} s after '
                    f'the acknowledgement, the last one after {last:.2f} s')
    return bool(late)


async def main(record, trouble, daemons):
    store = standin.Store()
    await store.listen()
    store.put('op', 'config', config(7, KEYS))
    engines = [standin.Engine(store, 'stock', record, answer) for _ in range(2)]
    for engine in engines:
        await engine.listen()
    for number in (1, 2, 3):
        daemons.append(standin.Daemon(f'edge-hofdi-{number}', f'{store.ip}:{store.port}', record))
    await asyncio.gather(*(daemon.start() for daemon in daemons))
    await asyncio.sleep(4)
    for version, key in enumerate(KEYS, 8):
        if record.now() > END_S:
            break
        await asyncio.sleep(random.uniform(0.2, 0.8))
        acknowledged = await take_away(key, version, store, trouble, record)
        if await runs_late(key, acknowledged, daemons, engines, record):
            return False
    return True


if __name__ == '__main__':
    standin.run_case(main, HERE)
