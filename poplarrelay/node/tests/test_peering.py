"""Test the calls from one node to another."""

from poplarrelay.messages.encoding import encode_outcome, encode_request
from poplarrelay.node.peer_client import PeerClient
from poplarrelay.outcomes import NotRun, NotRunReason
from poplarrelay.providers.http import JsonHttpClient, JsonReply
from poplarrelay.testing.fakes import FakeSystem


class RecordingClient(JsonHttpClient):
    """HTTP client that answers each call with an outcome and records the bodies."""

    def __init__(self):
        super().__init__(1.0)
        self.bodies = []

    def call(self, method, address, path, body=None, timeout_s=1.0, headers=None):
        self.bodies.append(body)
        outcome = encode_outcome(NotRun(NotRunReason.REFUSED))
        return JsonReply(200, outcome.model_dump(mode="json"))


def test_forward_is_valid_for_peer_of_previous_version():
    # Guards against forwarded requests that nodes of the previous version reject in
    # a rolling restart, because the body has a field that they do not have.
    system = FakeSystem()
    system.defer("n1")
    system.tick("n1")
    (request,) = system.nodes["n1"].world.requests.values()
    request.copies = 0
    http_client = RecordingClient()
    message = encode_request(request, system.now)
    reply = PeerClient(http_client, 1.0).forward("n2:1", message, 1.0)
    assert reply is not None
    assert "copies" not in http_client.bodies[0]
