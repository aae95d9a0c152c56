"""Call a node's HTTP interface for operators."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Any

from poplarrelay.commands.output import ExitCode, fail
from poplarrelay.providers.http import CallFailed, JsonHttpClient, JsonReply

__all__ = ["OperatorClient", "TOKEN_VARIABLE"]

#: Environment variable that holds the operators' token.
TOKEN_VARIABLE = "POPLARRELAY_OPERATOR_TOKEN"
CALL_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """Client of a node's interface for operators.

    Attributes
    ----------
    node : str
        Address at which the node serves peers and operators.
    """

    node: str

    def call(self, method: str, path: str, body: Any = None) -> JsonReply:
        """Return the reply to a call, or end the process if there is none.

        Status 401 also ends the process.
        """
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
            fail(
                ExitCode.REFUSED,
                f"the node requires the operators' token: set {TOKEN_VARIABLE}",
            )
        return reply

    def get(self, path: str) -> Any:
        """Return the JSON at a path, or end the process if the call fails."""
        reply = self.call("GET", path)
        if not reply.ok:
            fail(
                ExitCode.UNREACHABLE, f"{self.node} answered with status {reply.status}"
            )
        return reply.value

    def publish(self, subject: str, body: Any, after: int | None) -> JsonReply:
        """Publish a change of a subject.

        With an offset `after`, the change comes into force only if that offset is in
        force. With None, it replaces any earlier change.
        """
        change: dict[str, Any] = {"subject": subject, "body": body}
        if after is not None:
            change["after"] = after
        return self.call("POST", "/operator/configuration", change)
