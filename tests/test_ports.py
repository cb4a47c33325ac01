"""Guards against ports that are assigned to several processes of parallel runs."""

from standins import ports


def test_no_port_is_assigned_twice(monkeypatch):
    monkeypatch.setattr(ports, "FIRST_PORT", 31_500)
    monkeypatch.setattr(ports, "LAST_PORT", 31_503)
    assert sorted(ports.free_port() for _ in range(3)) == [31_500, 31_501, 31_502]
