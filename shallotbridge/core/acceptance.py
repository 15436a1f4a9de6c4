"""Whether the own upstream accepts new work, and how much of it."""

import enum

from . import errors
from . import limit as concurrency

# Answers in a row that clear ``leaving`` when only health reported it.
HEALTHY_ANSWERS = 3


class LeavingSource(enum.StrEnum):
    """What showed that the upstream is leaving."""

    HEALTH = "health"
    REFUSAL = "refusal"


class Acceptance:
    """State of service, failure domain, node and upstream.

    Parameters
    ----------
    own_host : model.Host
    configuration : callable
        ``configuration()`` returns the one in force, or None.

    Attributes
    ----------
    limit : limit.ConcurrencyLimit or None
        None before the first configuration that has the own service.
    is_node_leaving : bool

    Notes
    -----
    What the upstream still runs from before the node's start is not known,
    so the limit starts cold.
    """

    def __init__(self, *, own_host, configuration):
        self.limit = None
        self.is_node_leaving = False
        self._own_host = own_host
        self._configuration = configuration
        self._upstream_leaving = None
        self._healthy_answers = 0
        self._was_in_service = None

    @property
    def allowed(self):
        """Slots that may be held now."""
        return 0 if self.limit is None else self.limit.allowed

    @property
    def is_leaving(self):
        """Whether node or upstream is leaving."""
        return self.is_node_leaving or self._upstream_leaving is not None

    def check(self, call=None):
        """Check that new work is accepted.

        Parameters
        ----------
        call : model.Call, optional
            Its service must be the own one.

        Returns
        -------
        model.Service
            The own service.

        Raises
        ------
        errors.CallError
            With outcome "not run".
        """
        configuration = self._configuration()
        if configuration is None:
            raise errors.NoConfigurationError(
                "this node has no configuration yet; send the request to "
                "another node"
            )
        service = self._find_service(configuration, call)
        if self.limit is None:
            self.limit = concurrency.ConcurrencyLimit(limits=service.upstream)
        else:
            self.limit.configure(service.upstream)
        self._check_in_service(configuration, service)
        self._check_leaving()
        return service

    def _find_service(self, configuration, call):
        own = self._own_host
        service = configuration.services_by_name.get(own.service)
        if service is None or (
            call is not None and call.route.service != own.service
        ):
            wanted = own.service if call is None else call.route.service
            raise errors.UnknownServiceError(
                f"host {own.host_id} runs {own.service}, asked for {wanted}; "
                f"version in force is {configuration.head.version}"
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
            self.limit.restart()
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
        if self._upstream_leaving is not None:
            raise self.leaving_error()

    def leaving_error(self):
        """Return the error for an upstream that is leaving."""
        return errors.LeavingError(
            f"the upstream of {self._own_host.host_id} is leaving"
        )

    def observe(self):
        """Note whether the domain is in service, also without requests."""
        try:
            self.check()
        except errors.CallError:
            return

    def restart_limit(self):
        """Treat the upstream as cold."""
        if self.limit is not None:
            self.limit.restart()

    def on_upstream_restarted(self):
        """Take up work again, with a cold limit."""
        self._upstream_leaving = None
        self.restart_limit()

    def on_leaving_refusal(self):
        """Note that the upstream refused a request because it leaves."""
        self._upstream_leaving = LeavingSource.REFUSAL

    def on_leaving_health(self):
        """Note that the health endpoint reports leaving.

        Returns
        -------
        bool
            Whether this is new.
        """
        self._healthy_answers = 0
        if self._upstream_leaving is not None:
            return False
        self._upstream_leaving = LeavingSource.HEALTH
        return True

    def on_healthy(self):
        """Count a healthy answer, which ends ``leaving`` by health alone."""
        self._healthy_answers += 1
        if (
            self._upstream_leaving is LeavingSource.HEALTH
            and self._healthy_answers >= HEALTHY_ANSWERS
        ):
            self.on_upstream_restarted()

    def on_unhealthy(self):
        """Note an answer that is neither healthy nor leaving, or none."""
        self._healthy_answers = 0
