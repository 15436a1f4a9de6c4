"""State that decides whether the upstream gets new work, and how much."""

import enum

from . import errors
from . import limit as concurrency

# Consecutive healthy responses that clear a leaving state which only the
# health endpoint reported.
HEALTHY_RESPONSES = 3


class LeavingSource(enum.StrEnum):
    """Source of the information that the upstream is leaving."""

    HEALTH = "health"
    REFUSAL = "refusal"


class Acceptance:
    """Decides whether new work is accepted for the upstream.

    The decision depends on the state of the service, the failure domain, the
    node and the upstream.

    Parameters
    ----------
    own_host : model.Host
    configuration : callable
        ``configuration()`` returns the active configuration, or None.

    Attributes
    ----------
    limit : limit.ConcurrencyLimit or None
        None before the first configuration that has the host's service.
    is_node_leaving : bool

    Notes
    -----
    The limit starts cold, because the number of requests that the upstream
    still runs from before the start of the node is unknown.
    """

    def __init__(self, *, own_host, configuration):
        self.limit = None
        self.is_node_leaving = False
        self._own_host = own_host
        self._read_configuration = configuration
        self._leaving_source = None
        self._healthy_responses = 0
        self._was_in_service = None

    @property
    def allowed_slots(self):
        """Number of slots that may be in use now."""
        return 0 if self.limit is None else self.limit.allowed

    @property
    def is_leaving(self):
        """Whether the node or its upstream is leaving."""
        return self.is_node_leaving or self._leaving_source is not None

    def check(self, call=None):
        """Check that new work is accepted.

        Parameters
        ----------
        call : model.Call, optional
            Its service must be the one of this host.

        Returns
        -------
        model.Service
            The service of this host.

        Raises
        ------
        errors.CallError
            With outcome "not run".
        """
        configuration = self._read_configuration()
        if configuration is None:
            raise errors.NoConfigurationError(
                "this node has no configuration yet; send the request to "
                "another node"
            )
        service = self._find_service(configuration, call)
        if self.limit is None:
            self.limit = concurrency.ConcurrencyLimit(limits=service.upstream)
        else:
            self.limit.update_limits(service.upstream)
        self._check_in_service(configuration, service)
        self._check_leaving()
        return service

    def _find_service(self, configuration, call):
        own = self._own_host
        service = configuration.services_by_name.get(own.service)
        if service is None or (
            call is not None and call.route.service != own.service
        ):
            requested = own.service if call is None else call.route.service
            raise errors.UnknownServiceError(
                f"host {own.host_id} runs {own.service}, the request is for "
                f"{requested}; the active version is "
                f"{configuration.head.version}"
            )
        return service

    def _check_in_service(self, configuration, service):
        own = self._own_host
        is_in_service = (
            configuration.is_in_service(own.failure_domain)
            and own.failure_domain in service.upstream.failure_domains
        )
        if is_in_service and self._was_in_service is False:
            # Upstreams of a returning failure domain are treated as cold.
            self.limit.restart_ramp()
        self._was_in_service = is_in_service
        if not is_in_service:
            raise errors.OutOfServiceError(
                f"failure domain {own.failure_domain} is out of service for "
                f"{own.service} in version {configuration.head.version}"
            )

    def _check_leaving(self):
        if self.is_node_leaving:
            raise errors.LeavingError(
                f"node {self._own_host.host_id} is leaving"
            )
        if self._leaving_source is not None:
            raise self.leaving_error()

    def leaving_error(self):
        """Return the error for an upstream that is leaving."""
        return errors.LeavingError(
            f"the upstream of {self._own_host.host_id} is leaving"
        )

    def update_in_service(self):
        """Update the in-service state without a request."""
        try:
            self.check()
        except errors.CallError:
            return

    def restart_limit(self):
        """Treat the upstream as cold."""
        if self.limit is not None:
            self.limit.restart_ramp()

    def on_upstream_restarted(self):
        """Accept work again, with a cold limit."""
        self._leaving_source = None
        self.restart_limit()

    def on_refused_as_leaving(self):
        """Record that the upstream refused a request because it is leaving."""
        self._leaving_source = LeavingSource.REFUSAL

    def on_leaving_report(self):
        """Record that the health endpoint reports leaving.

        Returns
        -------
        bool
            Whether the upstream was not known to be leaving before.
        """
        self._healthy_responses = 0
        if self._leaving_source is not None:
            return False
        self._leaving_source = LeavingSource.HEALTH
        return True

    def on_healthy_report(self):
        """Count a healthy response of the health endpoint.

        Enough of them end a leaving state that only this endpoint reported.
        """
        self._healthy_responses += 1
        if (
            self._leaving_source is LeavingSource.HEALTH
            and self._healthy_responses >= HEALTHY_RESPONSES
        ):
            self.on_upstream_restarted()

    def on_unhealthy_report(self):
        """Restart the count of healthy responses.

        Called if the health endpoint reports neither ``ok`` nor ``leaving``,
        or does not respond.
        """
        self._healthy_responses = 0
