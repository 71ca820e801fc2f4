"""The interface of the decision module: settings, events and actions.

The host is the process that runs the decision module: a real node, or the simulator's adapter.  All times are
milliseconds on the host's clock, which must not run backwards but may start anywhere.  Endpoint ids (bytes)
and request ids (numbers) are opaque; the module returns them unchanged.
"""

from crowpost.decision_api.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    HealthCheck,
    Log,
    Reject,
    Send,
    SetTimer,
    Subscribe,
)
from crowpost.decision_api.endpoints import (
    EndpointEntry,
    ListKind,
    Readiness,
    RememberedEndpoint,
)
from crowpost.decision_api.errors import (
    DecisionApiError,
    InvalidSettingsError,
    SettingsError,
    UnexpectedEventError,
)
from crowpost.decision_api.events import (
    AttemptEnded,
    BodySent,
    EndpointList,
    Event,
    HealthCheckEnded,
    NodesPresent,
    PeerMessage,
    RequestAbandoned,
    RequestArrived,
    ResponseStarted,
    StateRestored,
    TimerFired,
)
from crowpost.decision_api.outcomes import (
    NEVER_RAN,
    EndpointId,
    Outcome,
    RequestId,
)
from crowpost.decision_api.settings import (
    Effect,
    IdempotencyScope,
    RequestClass,
    Settings,
    Tenant,
)
from crowpost.decision_api.settings_reader import (
    read_settings,
)

__all__ = [
    "NEVER_RAN",
    "Action",
    "AttemptEnded",
    "BodySent",
    "Cancel",
    "CloseIdle",
    "DecisionApiError",
    "Effect",
    "EndpointEntry",
    "EndpointId",
    "EndpointList",
    "Event",
    "Fail",
    "HealthCheck",
    "HealthCheckEnded",
    "IdempotencyScope",
    "InvalidSettingsError",
    "ListKind",
    "Log",
    "NodesPresent",
    "Outcome",
    "PeerMessage",
    "Readiness",
    "Reject",
    "RememberedEndpoint",
    "RequestAbandoned",
    "RequestArrived",
    "RequestClass",
    "RequestId",
    "ResponseStarted",
    "Send",
    "SetTimer",
    "Settings",
    "SettingsError",
    "StateRestored",
    "Subscribe",
    "Tenant",
    "TimerFired",
    "UnexpectedEventError",
    "read_settings",
]
