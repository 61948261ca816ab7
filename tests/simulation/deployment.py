"""The settings of the simulated deployment, and the cloud's machine types."""


def with_settings(text: str, changes: dict[str, str]) -> str:
    """Settings in which some lines, or parts of them, are others; each has to be there."""
    for old, new in changes.items():
        assert old in text
        text = text.replace(old, new)
    return text


SETTINGS = """
member = "node-{n}"
site = "{zone}"
listen = "10.0.0.{n}:8080"
peer_bind = "10.0.0.{n}:8081"
{peers}
[external]
cloud = "10.9.0.2:1"
state = "10.9.0.1:1"
[deployment]
size = 3
zones = ["a", "b"]
[[deployment.teams]]
name = "core"
cpus = 24.0
cpus_max = 48.0
[[deployment.teams]]
name = "edge"
cpus = 16.0
cpus_max = 40.0
[[deployment.teams]]
name = "guest"
cpus_max = 64.0
[[deployment.objectives]]
kind = "wait"
class = "quick"
within_s = 2.0
[deployment.workers]
report_s = 2.0
lease_s = 12.0
cancel_s = 30.0
gang_wait_s = 20.0
gang_peer_s = 3.0
[deployment.state]
rps = 200.0
write_rps = 60.0
value_kb = {value_kb}
txn_ops = 12
{upcoming_limits}
[deployment.cloud]
rps = 8.0
list_lag_s = 5.0
[deployment.quota]
cpu = 0.5
ram_mb = 128.0
max_sockets = 200
"""

MACHINE_TYPES = [
    {
        "label": "small",
        "vcpus": 8,
        "accelerators": 0,
        "memGb": 32,
        "cacheGb": 50,
        "pullGbPerS": 1.0,
        "price": 0.5,
        "spotPrice": 0.2,
        "bootS": 15,
        "yards": ["a", "b"],
    },
    {
        "label": "large",
        "vcpus": 32,
        "accelerators": 0,
        "memGb": 128,
        "cacheGb": 50,
        "pullGbPerS": 1.0,
        "price": 2.0,
        "spotPrice": 0.9,
        "bootS": 15,
        "yards": ["a", "b"],
    },
]
