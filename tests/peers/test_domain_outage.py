"""Tests of when a failure domain is avoided as a whole."""

from shallotbridge.peers import domain_outage

DOMAINS = {
    "10.0.0.1": "a",
    "10.0.0.2": "a",
    "10.0.1.1": "b",
    "10.0.1.2": "b",
    "10.0.1.3": "b",
    "10.0.1.4": "b",
}


def _never(address, time):
    return False


def test_a_domain_with_two_unresponsive_nodes_is_avoided():
    """Guards against failed requests at each node of an unreachable domain.

    A failure domain is cut off while requests go to all its nodes.
    """
    detector = domain_outage.DomainOutageDetector(own_domain="a")
    assert (
        detector.on_node_unresponsive("10.0.1.1", 5.0, DOMAINS, _never) == []
    )
    avoided = detector.on_node_unresponsive("10.0.1.2", 5.05, DOMAINS, _never)
    assert avoided == ["10.0.1.3", "10.0.1.4"]


def test_a_domain_with_a_responsive_node_is_not_avoided():
    """Guards against avoiding a domain for two crashed or overloaded hosts.

    Three hosts of a domain of 20 have saturated links and answer late, while
    the others are responsive (kozmisir-mesh-grown scale-1: hundreds of
    domains suspected a second). The domain is avoided once the responsive
    node has sent nothing for as long as it takes to suspect a node.
    """
    detector = domain_outage.DomainOutageDetector(own_domain="a")
    received_at = 5.0

    def has_received_since(address, time):
        return address == "10.0.1.3" and received_at > time

    detector.on_node_unresponsive("10.0.1.1", 5.0, DOMAINS, has_received_since)
    assert (
        detector.on_node_unresponsive(
            "10.0.1.2", 5.05, DOMAINS, has_received_since
        )
        == []
    )
    avoided = detector.on_node_unresponsive(
        "10.0.1.2", 5.2, DOMAINS, has_received_since
    )
    assert avoided == ["10.0.1.3", "10.0.1.4"]


def test_the_own_domain_and_old_failures_do_not_count():
    """Guards against a node that avoids the nodes of its own domain."""
    detector = domain_outage.DomainOutageDetector(own_domain="a")
    detector.on_node_unresponsive("10.0.0.1", 5.0, DOMAINS, _never)
    assert (
        detector.on_node_unresponsive("10.0.0.2", 5.05, DOMAINS, _never) == []
    )
    detector.on_node_unresponsive("10.0.1.1", 5.0, DOMAINS, _never)
    assert (
        detector.on_node_unresponsive("10.0.1.2", 6.5, DOMAINS, _never) == []
    )


def test_no_domain_is_suspected_right_after_the_own_start():
    """Guards against avoiding a domain whose nodes have just started too.

    Pattern: 28 domains were suspected 1.3 to 3.3 s after a loss of power.
    """
    found = domain_outage.DomainOutageDetector(own_domain="a", starts_at=3.0)
    domains = dict.fromkeys(("b1", "b2", "b3"), "b")
    avoided = [
        found.on_node_unresponsive(address, now, domains, _never)
        for now in (2.9, 3.1)
        for address in ("b1", "b2")
    ]
    assert avoided == [[], [], [], ["b3"]]
