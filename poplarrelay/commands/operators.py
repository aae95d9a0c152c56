"""Talk to the operators' listener of a node."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Any

from poplarrelay.commands.output import ExitCode, fail
from poplarrelay.providers.http import CallFailed, JsonHttpClient, JsonReply

__all__ = ["Operator", "TOKEN_VARIABLE"]

#: Environment variable that holds the operators' token.
TOKEN_VARIABLE = "POPLARRELAY_OPERATOR_TOKEN"
CALL_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator at a node.

    Attributes
    ----------
    node : str
        Address of the node's second listener.
    """

    node: str

    def call(self, method: str, path: str, body: Any = None) -> JsonReply:
        """Make a call, or end the process if the node does not answer."""
        token = os.environ.get(TOKEN_VARIABLE)
        headers = {} if token is None else {"Authorization": f"Bearer {token}"}
        http_client = JsonHttpClient(2.0)
        try:
            reply = http_client.call(
                method, self.node, path, body, CALL_TIMEOUT_S, headers=headers
            )
        except CallFailed as error:
            fail(ExitCode.UNREACHABLE, f"{self.node} gave no answer ({error})")
        if reply.status == 401:
            fail(ExitCode.REFUSED, f"the node wants a token in {TOKEN_VARIABLE}")
        return reply

    def get(self, path: str) -> Any:
        """Return the JSON at a path, or end the process."""
        reply = self.call("GET", path)
        if not reply.ok:
            fail(ExitCode.UNREACHABLE, f"{self.node} answered {reply.status}")
        return reply.value

    def publish(self, subject: str, body: Any, after: int | None) -> JsonReply:
        """Publish a change; `after` None replaces whatever is in force."""
        change: dict[str, Any] = {"subject": subject, "body": body}
        if after is not None:
            change["after"] = after
        return self.call("POST", "/operator/configuration", change)
