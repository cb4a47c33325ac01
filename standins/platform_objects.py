"""Sample objects of the metadata store, as the operator and endpoints write them."""


def configuration(**changes) -> dict:
    ask = {
        "Name": "ask",
        "Host": "shop.example",
        "PathPrefix": "/ask/",
        "Type": "streaming",
        "TimeoutMs": 15000,
        "TargetLatencyMs": 400,
        "Priority": 0,
        "Service": "models",
        "Attempts": 2,
        "AllowAnonymous": False,
        "SessionAffinity": True,
        "StreamResume": True,
        "GapAimMs": 300,
        "LaterField": {"a": 1},
    }
    plan = {
        **ask,
        "Name": "plan",
        "PathPrefix": "/plan/",
        "Attempts": 1,
        "StreamResume": False,
        "Service": "",
        "Backends": [
            {"Service": "models", "Weight": 90},
            {"Service": "canary", "Weight": 10},
        ],
    }
    order = {
        "Name": "order",
        "Host": "shop.example",
        "PathPrefix": "/order/",
        "Type": "unsafe",
        "TimeoutMs": 1500,
        "TargetLatencyMs": 400,
        "Priority": 2,
        "Service": "desk",
        "Attempts": 1,
    }
    engine = {
        "Slots": 64,
        "KvTokens": 339744,
        "KvBytes": 18432,
        "LinkMbps": 280000.0,
        "Stride": 5,
    }
    return {
        "Version": 7,
        "Routes": [ask, plan, order],
        "Services": [
            {"Name": "models", "HealthPath": "/healthz", "Engine": engine},
            {"Name": "desk", "HealthPath": "/healthz", "MaxConns": 100},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "shop", "ApiKeys": ["key-1"], "Priority": 1}],
        **changes,
    }


def server(**changes) -> dict:
    return {
        "Service": "models",
        "Address": "127.0.0.1:8080",
        "Zone": "a",
        "Version": "v1",
        "Slots": 64,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Sequence": 4,
        "born": 1_700_000_000_000,
        **changes,
    }


def versioned_configuration(version: int) -> dict:
    """Returns a configuration with a route for each call type.

    The route `/v<version>/` exists in this version only, so that a probe can tell which
    version is in force.
    """
    base = configuration()
    order, ask = base["Routes"][2], base["Routes"][0]
    plan = {
        **ask,
        "Name": "plan",
        "PathPrefix": "/plan/",
        "Attempts": 1,
        "StreamResume": False,
        "Priority": 1,
    }
    status = {
        **order,
        "Name": "status",
        "PathPrefix": "/status/",
        "Type": "safe",
        "Attempts": 2,
    }
    probe = {**status, "Name": "v", "PathPrefix": f"/v{version}/"}
    return {**base, "Version": version, "Routes": [ask, plan, order, status, probe]}
