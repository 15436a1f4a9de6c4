"""Exceptions with error codes, request outcomes and HTTP statuses.

Codes are stable. SB-1xxx are errors in operators' files and builds, SB-2xxx
errors of distribution, SB-3xxx error responses to callers and SB-4xxx errors
in settings.
"""

import enum


class Outcome(enum.StrEnum):
    """Whether the request ran, as far as the node knows."""

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(enum.StrEnum):
    """Values of the ``x-refused`` header of an upstream's refusal."""

    OVERLOADED = "overloaded"
    COLD = "cold"
    LEAVING = "leaving"
    DEADLINE = "deadline"


class ShallotbridgeError(Exception):
    """Base class of all exceptions of this package.

    Parameters
    ----------
    detail : str
        The actual value, the expected value and how to fix the error.

    Examples
    --------
    >>> error = NoRouteError("no route for GET /rolls; see 'status'")
    >>> error.code, error.status, str(error.outcome)
    ('SB-3001', 404, 'not-run')
    """

    code = "SB-0000"

    def __init__(self, detail=""):
        super().__init__(detail)
        self.detail = detail


# Operators' files and builds, SB-1xxx.


class ConfigurationError(ShallotbridgeError):
    """The configuration is not valid."""

    code = "SB-1000"


class TreeError(ConfigurationError):
    """The configuration tree has one or more errors."""

    code = "SB-1001"

    def __init__(self, problems):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class BuildError(ConfigurationError):
    """The tree cannot be built into the next configuration version."""

    code = "SB-1002"


class VersionOrderError(BuildError):
    """The version number does not follow that of its base."""

    code = "SB-1003"


class ValueSizeError(BuildError):
    """A value exceeds the size limit of the configuration service."""

    code = "SB-1004"


class UnknownFailureDomainError(ConfigurationError):
    """A referenced failure domain is not defined in the mesh."""

    code = "SB-1005"


class UnchangedBuildError(BuildError):
    """The tree has the same content as its base; no version is needed."""

    code = "SB-1006"


class ServiceWithoutDomainError(ConfigurationError):
    """The change leaves a service without a failure domain in service."""

    code = "SB-1007"


class UnreadableInputError(ConfigurationError):
    """A file or directory given by the operator cannot be used."""

    code = "SB-1008"


# Distribution, SB-2xxx.


class DistributionError(ShallotbridgeError):
    """A configuration or host list could not be received."""

    code = "SB-2000"


class MalformedPartError(DistributionError):
    """A part, bundle or head could not be decoded."""

    code = "SB-2001"


class DigestMismatchError(DistributionError):
    """The content does not match its announced digest."""

    code = "SB-2002"


class DanglingReferenceError(DistributionError):
    """A part refers to a service or failure domain that does not exist."""

    code = "SB-2003"


class StaleVersionError(DistributionError):
    """The received version is lower than the active one."""

    code = "SB-2004"


class VersionConflictError(DistributionError):
    """Two different configurations have the same version number."""

    code = "SB-2005"


class DeltaBaseError(DistributionError):
    """The base of a delta is not the active version."""

    code = "SB-2006"


class PlatformUnavailableError(DistributionError):
    """The platform did not respond, or rejected the call.

    Attributes
    ----------
    is_unanswered : bool
        Whether no response was received at all.
    """

    code = "SB-2007"
    is_unanswered = False


class PlatformRateError(PlatformUnavailableError):
    """The rate limit of the platform or of the node is exceeded."""

    code = "SB-2008"


class PeerUnavailableError(DistributionError):
    """A peer did not respond within the timeout."""

    code = "SB-2009"


class MalformedEntryError(DistributionError):
    """An item of the platform does not have the required format."""

    code = "SB-2011"


class HistoryLostError(DistributionError):
    """The platform no longer keeps the changes since a revision."""

    code = "SB-2013"


class MalformedFrameError(DistributionError):
    """Data from another node could not be decoded as a message."""

    code = "SB-2012"


class MalformedHostListError(DistributionError):
    """The platform's host list could not be decoded."""

    code = "SB-2010"


# Error responses to callers, SB-3xxx.


class CallError(ShallotbridgeError):
    """A request ended without a response from an upstream."""

    code = "SB-3000"
    status = 503
    outcome = Outcome.NOT_RUN
    # True when the owner node reported the failure, so the outcome is certain.
    is_from_owner = False
    # True when the same request can be retried without risk.
    is_retry_safe = True
    # True when the connection was lost while the request was in flight.
    is_connection_lost = False
    # Free slots that the owner node reported in its refusal.
    free = None
    # Seconds after which the caller may retry; None if unknown.
    retry_after = None
    # True when the request reached the upstream and the upstream refused it.
    has_arrived = False


class NoRouteError(CallError):
    """No route of the active configuration matches the request."""

    code = "SB-3001"
    status = 404


class NoConfigurationError(CallError):
    """The node has not received a configuration yet."""

    code = "SB-3002"


class NoUpstreamError(CallError):
    """No host of the service is available."""

    code = "SB-3003"


class OverloadedError(CallError):
    """The upstream's slots and queue are full."""

    code = "SB-3004"


class LeavingError(CallError):
    """The upstream or its node is draining."""

    code = "SB-3005"


class OutOfServiceError(CallError):
    """The failure domain is out of service."""

    code = "SB-3006"


class UnknownServiceError(CallError):
    """The owner node does not have the service of the request."""

    code = "SB-3007"


class QuarantinedError(CallError):
    """The request is quarantined because it has crashed upstreams."""

    code = "SB-3008"
    status = 429
    is_retry_safe = False


class KeySeenError(CallError):
    """The idempotency key was used before; that outcome is unknown."""

    code = "SB-3009"
    status = 409
    outcome = Outcome.UNKNOWN
    is_retry_safe = False


class DeadlineBeforeSendError(CallError):
    """The deadline passed before the request was sent to an upstream."""

    code = "SB-3010"
    status = 504


class DeadlineAfterSendError(CallError):
    """The deadline passed after the request was sent to an upstream."""

    code = "SB-3011"
    status = 504
    outcome = Outcome.UNKNOWN
    is_retry_safe = False


class OutcomeUnknownError(CallError):
    """The connection was lost when the request may already have started."""

    code = "SB-3012"
    status = 502
    outcome = Outcome.UNKNOWN
    is_retry_safe = False


class UpstreamUnreachableError(CallError):
    """Connecting to the upstream or to the owner node failed."""

    code = "SB-3013"


class UpstreamRefusedError(CallError):
    """The upstream refused the request and did not run it.

    Parameters
    ----------
    detail : str
    reason : str
        Value of the upstream's ``x-refused`` header, usually one of
        ``RefusalReason``.
    """

    code = "SB-3014"

    def __init__(self, detail="", *, reason=RefusalReason.OVERLOADED):
        super().__init__(detail)
        self.reason = reason


class ColdError(CallError):
    """The upstream is in slow start and has no capacity left."""

    code = "SB-3015"


class FramingError(CallError):
    """The message is not in the strict HTTP/1.1 form that nodes accept."""

    code = "SB-3016"
    status = 400
    is_retry_safe = False


class HeadTooLargeError(FramingError):
    """The head of a message exceeds the size limit."""

    code = "SB-3017"
    status = 431


class BodyTooLargeError(FramingError):
    """The body of a request exceeds the size limit."""

    code = "SB-3018"
    status = 413


class BadHeaderError(FramingError):
    """A header of the callers' protocol has an invalid name or value."""

    code = "SB-3019"


class AnswerMismatchError(OutcomeUnknownError):
    """The response belongs to another request, or is malformed."""

    code = "SB-3020"


class AnswerTooLargeError(OutcomeUnknownError):
    """The response of an upstream exceeds the size limit."""

    code = "SB-3021"


class AnswerMemoryError(AnswerTooLargeError):
    """The response is large and there is no memory to read it."""

    code = "SB-3023"


class RequestTimeoutError(FramingError):
    """The request was not received completely within the timeout."""

    code = "SB-3022"
    status = 408


class UnknownKeyError(CallError):
    """The request has no API key, or one that no customer holds."""

    code = "SB-3024"
    status = 401
    is_retry_safe = False


class QuotaExceededError(CallError):
    """The customer has used up its quota for now."""

    code = "SB-3025"
    status = 429


class RequestMemoryError(FramingError):
    """There is no memory to receive the request, which has not run."""

    code = "SB-3026"
    status = 503
    # Header fields of the request, if its head was received.
    headers = ()

    def request_header(self, name):
        """Return the value of the first header field of a name, or None."""
        for header in self.headers:
            if header.name == name:
                return header.value
        return None


# Settings, SB-4xxx.


class SettingsError(ShallotbridgeError):
    """One or more settings are missing or invalid."""

    code = "SB-4001"

    def __init__(self, problems):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class SettingValueError(ShallotbridgeError):
    """A setting has an invalid value; the detail gives the allowed ones."""

    code = "SB-4002"


def release_frames(error):
    """Drop the tracebacks of an error that was handled and of its causes.

    They refer to frames, and these to the request and its answer. A frame
    that also refers to the error would keep them in memory until the garbage
    collection, and no account counts them.
    """
    while error is not None:
        error.__traceback__ = None
        error = error.__cause__ or error.__context__


def _all_subclasses(base):
    for subclass in base.__subclasses__():
        yield subclass
        yield from _all_subclasses(subclass)


def errors_by_code():
    """Return all exception types by error code.

    Returns
    -------
    dict[str, type[ShallotbridgeError]]

    Examples
    --------
    >>> errors_by_code()["SB-3004"].__name__
    'OverloadedError'
    """
    return {
        error_type.code: error_type
        for error_type in _all_subclasses(ShallotbridgeError)
    }
