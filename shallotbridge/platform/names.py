"""Header names and paths of the platform's protocols."""

from ..traffic import model

# Header of all answers of the store; see ``distribution.positions``.
STORE_ERA = "store-era"

HEADER_NAMES = model.HeaderNames(
    request_id="attempt-id",
    deadline="deadline-remaining",
    signature="server-signature",
    expected_instance="target-instance",
    not_run="not-executed",
    caller_service="caller-service",
    instance="instance-id",
    cold="cold-remaining",
    limit="server-limit",
    leaving="server-leaving",
    api_key="x-api-key",
    customer="tenant-name",
)
READINESS_PATH = "/v1/readiness"
