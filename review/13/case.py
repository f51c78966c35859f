"""No gateway starts again after the bounds in its settings were changed to figures with a fraction."""
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import signal  # noqa: E402

import harness_3 as harness  # noqa: E402
from harness_3 import standin  # noqa: E402

RECOVERY_S, RESTART_S, CALM_S, AFTER_S = 12.0, 1.0, 5.0, 5.0


def main():
    with harness.deployment(HERE) as (platform, record, gateways):
        platform.configure([{"prefix": "/read/", "kind": "idempotent", "service": "tools", "maxAttempts": 2}])
        for number in range(2):
            platform.add(standin.Backend, f"tool-{number}", "tools")
        for name in ("edge-1", "edge-2"):
            gateways.append(harness.Gateway(name, f"127.0.0.1:{platform.store.port}", record))
        for gateway in gateways:
            gateway.wait_ready()
        done = threading.Event()
        starts = {gateway.name: 0 for gateway in gateways}

        def supervise(gateway):
            """As the platform: a process that has ended is started again after a short delay."""
            while not done.wait(0.05):
                if gateway.process.poll() is None:
                    continue
                record.add(f"{gateway.name} has ended with {gateway.process.returncode}")
                if done.wait(RESTART_S):
                    return
                starts[gateway.name] += 1
                record.add(f"{gateway.name} is started")
                gateway.start()

        def traffic(seconds):
            sent = served = 0
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                answer = harness.send(gateways[sent % 2], record, "GET", "/read/a", deadline_ms=2000)
                sent += 1
                served += answer.status == 200 and answer.whole
                time.sleep(0.1)
            return sent, served

        supervisors = [threading.Thread(target=supervise, args=(gateway,)) for gateway in gateways]
        for thread in supervisors:
            thread.start()
        try:
            sent_before, served_before = traffic(CALM_S)
            if harness.TROUBLE:
                for gateway in gateways:
                    text = gateway.settings.read_text().replace("configApplyMs: 2000", "configApplyMs: 2500.0")
                    gateway.settings.write_text(text)
                    gateway.process.send_signal(signal.SIGHUP)
                record.add("the settings have changed, both gateways got SIGHUP")
            time.sleep(1.0)
            record.add("all processes are killed")
            for gateway in gateways:
                gateway.process.kill()
            back = time.monotonic() + RESTART_S
            traffic(max(0.0, back + RECOVERY_S - time.monotonic()))
            sent_after, served_after = traffic(AFTER_S)
        finally:
            done.set()
            for thread in supervisors:
                thread.join()
        broken = 4 * served_before >= sent_before and 4 * served_after < sent_after
        result = f"RECOVER: served {served_before} of {sent_before} before the fault, and {served_after} of {sent_after} " \
                 f"later than {RECOVERY_S:.0f} s after it; starts {starts}: {'BROKEN' if broken else 'held'}"
        record.add(result)
        print(result)
        if broken:
            record.add("last lines of edge-1: " + " | ".join(gateways[0].output().splitlines()[-2:]))
        return harness.BROKEN if broken else harness.HELD


harness.run_case(main)
