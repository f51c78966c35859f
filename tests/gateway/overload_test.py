"""Tests a demand above what the platform's store takes, against stand-ins for the users' platform.

Usage: overload_test.py GATEWAY_BINARY [unittest option...]
"""
import concurrent.futures
import sys
import time
import unittest

import gateway_test
from conversation_test import ConversationCase
from gateway_test import Caller, turn

WRITES_PER_S = 20
PROGRAMS = 60
# A caller returns after each refusal, when it is told to.
ATTEMPTS = 30


class StoreRateTest(ConversationCase):
    def run_program(self, gateway, number):
        """Sends a turn until it is not refused. Returns the last response's status."""
        for attempt in range(ATTEMPTS):
            caller = Caller(gateway)
            options = turn(f"p{number}", budget=100000, Request_Id=f"{number}-{attempt}",
                           Prompt_Prefix=f"aa:400,b{number:04x}:100")
            response = caller.send("POST", "/chat/1", b"hello ", **options)
            response.close()
            caller.close()
            if response.status != 503:
                break
            time.sleep(float(response.headers["Retry-After"]))
        return response.status

    def test_burst_of_turns_keeps_to_the_rate_of_the_store(self):
        """Guards against turns that run and then end without a record, because the store refuses most writes."""
        gateway = self.start(writes_per_s=WRITES_PER_S)
        store = self.platform.store
        store.writes_per_s = WRITES_PER_S
        with concurrent.futures.ThreadPoolExecutor(PROGRAMS) as pool:
            results = list(pool.map(lambda number: self.run_program(gateway, number), range(PROGRAMS)))
        self.assertEqual(results, [200] * PROGRAMS)
        self.assertEqual(len(self.records()), PROGRAMS)
        writes = sum(path == "/rows-tx" for _, path, _ in store.calls)
        self.assertLess(store.refused_writes, writes / 3)
        self.assertNotIn("broken_off", gateway.log())


if __name__ == "__main__":
    gateway_test.GATEWAY = sys.argv.pop(1)
    unittest.main()
