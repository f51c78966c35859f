"""Configuration of the process-level tests, with the names that the load tool's sample programs use."""
import hashlib

TOKENS = {"casca": "casca-sample-token", "tan": "tan-sample-token"}


def token_hash(token):
    return hashlib.sha256(token.encode()).hexdigest()


def operation(name, repeatable, deadline_ms=20000):
    return {"name": name, "repeatable": repeatable, "cost_tokens": 5, "deadline_ms": deadline_ms}


def pool(name, place, kind, operations, max_tokens):
    value = {
        "kind": "pool",
        "name": name,
        "place": place,
        "type": kind,
        "service": name,
        "operations": operations,
        "checks_fencing": False,
        "checks_sender": False,
        "reachable_without_sidecar": False,
    }
    if kind == "engine":
        value |= {"model": "sample", "max_tokens_per_call": max_tokens}
    return value


def program_class(name, organisation, pools, short):
    return {
        "kind": "program_class",
        "name": name,
        "organisation": organisation,
        "priority": "high" if short else "normal",
        "pools": pools,
        "default_budget": "large",
        "limits": {"turns": 250, "elapsed_ms": 3600000, "spend_tokens": 5000000},
        "short_work": short,
        "default_deadline_ms": 20000,
    }


def organisation(name, classes, models, services, operations):
    pools = [models, services]
    objects = [
        {
            "kind": "organisation",
            "name": name,
            "token_hashes": [token_hash(TOKENS[name])],
            "classes": list(classes),
            "budget": "total",
        },
        pool(models, "here", "engine", [operation("chat", True, 30000)], 4096),
        pool(services, "here", "service", operations, 0),
    ]
    return objects + [program_class(key, name, pools, short) for key, short in classes.items()]


def objects():
    """All objects of the test configuration."""
    shared = [
        {"kind": "place", "name": "here", "region": "here", "data_centres": ["dc-a", "dc-b", "dc-c"], "distances": []},
        {"kind": "priority", "name": "high", "rank": 0, "reserved_share": 0.2, "queue_wait_ms": 20000},
        {"kind": "priority", "name": "normal", "rank": 1, "reserved_share": 0, "queue_wait_ms": 60000},
        {"kind": "budget", "name": "large", "scope": "program", "tokens": 4000000},
        {"kind": "budget", "name": "total", "scope": "organisation", "tokens": 100000000},
    ]
    casca = organisation(
        "casca",
        {"quick-check": True, "quality-review": False, "settlement": False},
        "agent-models",
        "ticket-app",
        [operation("read-lot", True)]
        + [operation(name, False) for name in ("record-weighing", "enter-lot", "pay-grower")],
    )
    tan = organisation(
        "tan",
        {"repair-quote": True, "parts-chase": False, "after-sales": False},
        "model-bench",
        "shop-app",
        [operation("find-part", True)] + [operation(name, False) for name in ("refund", "courier-pickup")],
    )
    return shared + casca + tan
