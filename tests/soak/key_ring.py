"""Organisations and keys of a soak, and what must hold for them."""
import random
import time

# Bound within which a key that was taken away must have stopped working.
BOUND_S = 2.0
SETTINGS = f"revokeStrict: true\n  revokeMs: {int(BOUND_S * 1000)}"
NAMES = ("north", "south", "west")


class KeyRing:
    """Hands out keys to callers. Remembers who sent what with which key, and when a key was taken away."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.count = 0
        self.organisations = {name: [self.make_key(), self.make_key()] for name in NAMES}
        # Times at which keys were taken away, for good, and those of each organisation.
        self.taken = {}
        self.former = {name: [] for name in NAMES}
        # (time, organisation, key) of each request, by its id.
        self.sent = {}
        # Organisation that each complete turn belongs to.
        self.owners = {}

    def make_key(self):
        self.count += 1
        return f"secret{self.count:x}key{self.random.randrange(1 << 40):x}"

    def replace_key(self, put_config):
        """Takes a key away and adds one; `put_config` stores the organisations."""
        name = self.random.choice(NAMES)
        key = self.organisations[name].pop(0)
        self.organisations[name].append(self.make_key())
        put_config()
        self.taken[key] = time.monotonic()
        self.former[name].append(key)

    def sign(self, request_id, name, good_only=False):
        """Header fields of a request, and whether its key is one that the organisation holds."""
        luck = 0.5 if good_only else self.random.random()
        key = self.random.choice(self.organisations[name])
        if luck < 0.05:
            key = "secret-unknown"
        elif luck < 0.15 and self.former[name]:
            key = self.random.choice(self.former[name])
        fields = {"X-Api-Key": key}
        if luck > 0.8:
            fields["Tenant"] = self.random.choice(NAMES)
        self.sent[request_id] = (time.monotonic(), name, key)
        return fields, key in self.organisations[name]

    def check_run(self, request_id, headers):
        """Returns what is wrong with a request that a server ran, or None."""
        if request_id not in self.sent:
            return f"{request_id}: no caller has sent it"
        sent_at, name, key = self.sent[request_id]
        if "secret" in str(headers):
            return f"{request_id}: a server received the key"
        if key == "secret-unknown":
            return f"{request_id}: executed with an unknown key"
        if sent_at > self.taken.get(key, sent_at) + BOUND_S:
            return f"{request_id}: executed, sent {sent_at - self.taken[key]:.1f} s after its key was taken away"
        if headers.get("tenant") != name:
            return f"{request_id}: executed for {headers.get('tenant')} instead of {name}"
        return None
