"""BUDGET: during an outage of the store, a gateway grants tokens of a budget that is already spent."""
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness import BROKEN, HELD, TROUBLE, CouldNotRun, World, run_case, send, standin, turn_headers  # noqa: E402

MOST = 40        # tokens of one turn: 8 events of 5 tokens
BUDGET = 480     # Token-Budget of a program: 12 turns
PROGRAMS = [f"q{i:x}c3" for i in range(12)]
OUTAGE_S = 4.5
EVENT_TOKENS = 5


def main():
    world = World(FOLDER)
    record = world.record
    for i in range(3):
        world.platform.add(standin.Engine, f"m-{i}", "models", events=8, gap_s=0.005)
    world.configure([{"prefix": "/chat/", "kind": "streaming", "service": "models", "sticky": True, "resumable": True}])
    gateways = [world.gateway(f"edge-{i}") for i in range(1, 4)]
    world.wait_ready()
    time.sleep(4)  # the gateways have heard of each other
    handed = dict.fromkeys(PROGRAMS, 0)

    def turn(program, gateway):
        answer = send(gateway.front, "POST", "/chat/1", b"x" * 200, turn_headers(program, BUDGET, MOST))
        tokens = answer.events() * EVENT_TOKENS
        handed[program] += tokens
        record(f"turn program={program} request={answer.request_id} gateway={gateway.name} status={answer.status} "
               f"whole={answer.whole} tokens={tokens} handed={handed[program]}")
        return answer

    for _ in range(BUDGET // MOST):
        for program in PROGRAMS:
            if turn(program, gateways[0]).status != 200:
                raise CouldNotRun("a turn within the budget failed")
    record("every program has been handed its whole budget")
    time.sleep(1)
    began = time.monotonic()
    if TROUBLE:
        world.platform.run(setattr, world.store, "mode", "busy")
        record("store: busy (503) for all")
    time.sleep(1)
    # The next turn of each program, and turns of its sub-agents, arrive through other zones.
    for number in range(4):
        for program in PROGRAMS:
            turn(program, gateways[1 + number % 2])
    time.sleep(max(0, began + OUTAGE_S - time.monotonic()))
    world.platform.run(setattr, world.store, "mode", "ok")
    record("store: well")
    for gateway in gateways:
        for line in gateway.log_lines("budget_advanced"):
            record(f"log {gateway.name}: {line}")
    broken = 0
    for program in PROGRAMS:
        over = handed[program] > BUDGET + MOST
        broken += over
        record(f"result program={program} handed={handed[program]} budget={BUDGET} bound={BUDGET + MOST} "
               f"{'BROKEN' if over else 'held'}")
    print(f"BUDGET: {broken} of {len(PROGRAMS)} programs were handed more than Token-Budget + one turn "
          f"({BUDGET + MOST}); most: {max(handed.values())}")
    return BROKEN if broken else HELD


run_case(main)
