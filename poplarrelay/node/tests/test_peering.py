"""Calls from one node to another."""

from poplarrelay.messages.encoding import encode_outcome, encode_request
from poplarrelay.node.peer_client import PeerClient
from poplarrelay.outcomes import NotRun, NotRunReason
from poplarrelay.providers.http import JsonHttpClient, JsonReply
from poplarrelay.testing.fakes import FakeSystem


class Recorder(JsonHttpClient):
    """Answers each call with an outcome, and keeps what was sent."""

    def __init__(self):
        super().__init__(1.0)
        self.bodies = []

    def call(self, method, address, path, body=None, timeout_s=1.0, headers=None):
        self.bodies.append(body)
        outcome = encode_outcome(NotRun(NotRunReason.REFUSED))
        return JsonReply(200, outcome.model_dump(mode="json"))


def test_peer_of_the_version_before_understands_a_forward():
    # Guards against forwards that older nodes refuse in a rolling restart.
    system = FakeSystem()
    system.defer("n1")
    system.tick("n1")
    (request,) = system.nodes["n1"].world.requests.values()
    request.copies = 0
    recorder = Recorder()
    stored = encode_request(request, system.now)
    reply = PeerClient(recorder, 1.0).forward("n2:1", stored, 1.0)
    assert reply is not None
    assert "copies" not in recorder.bodies[0]
