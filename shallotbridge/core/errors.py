"""Failures, each a type with a code, an outcome and an HTTP status.

Codes are stable: SB-1xxx are errors of an operator's files and builds,
SB-2xxx of distribution, SB-3xxx answers to callers, SB-4xxx settings.
"""

import enum


class Outcome(enum.StrEnum):
    """What is known of the request that an answer belongs to."""

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(enum.StrEnum):
    """Values of ``x-refused`` with which an upstream refuses a request."""

    OVERLOADED = "overloaded"
    COLD = "cold"
    LEAVING = "leaving"
    DEADLINE = "deadline"


class ShallotbridgeError(Exception):
    """Base of all failures of this package.

    Parameters
    ----------
    detail : str
        What was found, what was expected and what to do next.

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


# Operators' files and builds.


class ConfigurationError(ShallotbridgeError):
    """A configuration is not acceptable."""

    code = "SB-1000"


class TreeError(ConfigurationError):
    """A tree of operators' files has one or more errors."""

    code = "SB-1001"

    def __init__(self, problems):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class BuildError(ConfigurationError):
    """A tree cannot become the next accepted configuration."""

    code = "SB-1002"


class VersionOrderError(BuildError):
    """The version does not follow its base."""

    code = "SB-1003"


class ValueSizeError(BuildError):
    """A value exceeds what the configuration service holds."""

    code = "SB-1004"


class UnknownFailureDomainError(ConfigurationError):
    """A failure domain is named that the mesh does not have."""

    code = "SB-1005"


class UnchangedBuildError(BuildError):
    """A tree has the content of its base, so a new version is needless."""

    code = "SB-1006"


class ServiceWithoutDomainError(ConfigurationError):
    """A service would keep no failure domain that is in service."""

    code = "SB-1007"


class UnreadableInputError(ConfigurationError):
    """A file or directory that an operator named cannot be used."""

    code = "SB-1008"


# Distribution.


class DistributionError(ShallotbridgeError):
    """A configuration or host list could not be received."""

    code = "SB-2000"


class MalformedPartError(DistributionError):
    """Bytes of a part, bundle or head could not be decoded."""

    code = "SB-2001"


class DigestMismatchError(DistributionError):
    """Content does not have the digest that was announced for it."""

    code = "SB-2002"


class DanglingReferenceError(DistributionError):
    """A part refers to a service or failure domain that is absent."""

    code = "SB-2003"


class StaleVersionError(DistributionError):
    """A version below the one in force was offered."""

    code = "SB-2004"


class VersionConflictError(DistributionError):
    """Two contents carry the same version number."""

    code = "SB-2005"


class DeltaBaseError(DistributionError):
    """A delta does not start from the version in force."""

    code = "SB-2006"


class PlatformUnavailableError(DistributionError):
    """The platform did not answer, or refused the call.

    Attributes
    ----------
    is_silent : bool
        Whether nothing came back at all.
    """

    code = "SB-2007"
    is_silent = False


class PlatformRateError(PlatformUnavailableError):
    """The platform's rate limit, or the node's own, is exhausted."""

    code = "SB-2008"


class PeerUnavailableError(DistributionError):
    """A peer did not answer in time."""

    code = "SB-2009"


class MalformedEntryError(DistributionError):
    """An item of the platform does not have the form that it must have."""

    code = "SB-2011"


class HistoryLostError(DistributionError):
    """The platform no longer has the changes since a revision."""

    code = "SB-2013"


class MalformedFrameError(DistributionError):
    """Bytes of another node are not a message."""

    code = "SB-2012"


class MalformedHostListError(DistributionError):
    """The platform's host list could not be decoded."""

    code = "SB-2010"


# Answers to callers.


class CallError(ShallotbridgeError):
    """A request ends without an upstream's answer."""

    code = "SB-3000"
    status = 503
    outcome = Outcome.NOT_RUN
    # True when the owner node itself reported the failure, and so knows it.
    is_reported = False
    # True when the same request may be sent again without any risk.
    is_retry_safe = True
    # True when a connection was lost while the request was in flight.
    is_reset = False
    # Free slots that an owner node reported with its refusal.
    free = None
    # When the caller may come back, s; None if unknown.
    retry_after = None
    # True when the upstream itself refused, so that the request reached it.
    has_arrived = False


class NoRouteError(CallError):
    """No route of the configuration in force matches."""

    code = "SB-3001"
    status = 404


class NoConfigurationError(CallError):
    """The node has no configuration yet."""

    code = "SB-3002"


class NoUpstreamError(CallError):
    """No host of the service can be chosen."""

    code = "SB-3003"


class OverloadedError(CallError):
    """The upstream's slots and queue are full."""

    code = "SB-3004"


class LeavingError(CallError):
    """The upstream or its node is leaving."""

    code = "SB-3005"


class OutOfServiceError(CallError):
    """The failure domain is out of service."""

    code = "SB-3006"


class UnknownServiceError(CallError):
    """The owner node does not have the service of the request."""

    code = "SB-3007"


class QuarantinedError(CallError):
    """The request has crashed upstreams before."""

    code = "SB-3008"
    status = 429
    is_retry_safe = False


class KeySeenError(CallError):
    """The idempotency key was seen; its first outcome is not known."""

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
    """The connection ended after the request may have started to run."""

    code = "SB-3012"
    status = 502
    outcome = Outcome.UNKNOWN
    is_retry_safe = False


class UpstreamUnreachableError(CallError):
    """No connection to the upstream or the owner node could be made."""

    code = "SB-3013"


class UpstreamRefusedError(CallError):
    """The upstream itself refused the request and did not run it.

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
    """The upstream is cold and has no capacity left in its ramp."""

    code = "SB-3015"


class FramingError(CallError):
    """A message is not HTTP/1.1 as this node accepts it."""

    code = "SB-3016"
    status = 400
    is_retry_safe = False


class HeadTooLargeError(FramingError):
    """The head of a message exceeds its bound."""

    code = "SB-3017"
    status = 431


class BodyTooLargeError(FramingError):
    """The body of a request exceeds its bound."""

    code = "SB-3018"
    status = 413


class BadHeaderError(FramingError):
    """A header of the callers' protocol has a value that is not allowed."""

    code = "SB-3019"


class AnswerMismatchError(OutcomeUnknownError):
    """An answer belongs to another request, or is malformed."""

    code = "SB-3020"


class AnswerTooLargeError(OutcomeUnknownError):
    """The answer of an upstream exceeds its bound."""

    code = "SB-3021"


class RequestTimeoutError(FramingError):
    """The request did not arrive whole in time."""

    code = "SB-3022"
    status = 408


# Settings.


class SettingsError(ShallotbridgeError):
    """One or more settings are missing or not allowed."""

    code = "SB-4001"

    def __init__(self, problems):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class SettingValueError(ShallotbridgeError):
    """The text of one setting is not allowed; the detail says what is."""

    code = "SB-4002"


def _all_subclasses(base):
    for subclass in base.__subclasses__():
        yield subclass
        yield from _all_subclasses(subclass)


def errors_by_code():
    """Return all failure types by their code.

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
