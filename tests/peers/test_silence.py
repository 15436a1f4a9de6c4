"""When a failure domain is avoided as a whole."""

from shallotbridge.peers import silence

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


def test_two_silent_nodes_let_their_domain_be_avoided():
    """Guards against requests that each node of a cut domain costs.

    Pattern: a failure domain is cut off while requests go to all its nodes.
    """
    tracker = silence.DomainSilence(own_domain="a")
    assert tracker.on_silence("10.0.1.1", 5.0, DOMAINS, _never) == []
    avoided = tracker.on_silence("10.0.1.2", 5.05, DOMAINS, _never)
    assert avoided == ["10.0.1.3", "10.0.1.4"]


def test_no_domain_is_avoided_while_one_of_its_nodes_is_heard():
    """Guards against a domain avoided for two dead or overloaded hosts.

    Pattern: three hosts of a domain of 20 have full links and answer late,
    the others answer (kozmisir-mesh-grown scale-1: hundreds of domains
    doubted a second). The domain is avoided as soon as that one is silent
    for as long as it takes to doubt a node.
    """
    tracker = silence.DomainSilence(own_domain="a")
    heard_at = 5.0

    def heard(address, time):
        return address == "10.0.1.3" and heard_at > time

    tracker.on_silence("10.0.1.1", 5.0, DOMAINS, heard)
    assert tracker.on_silence("10.0.1.2", 5.05, DOMAINS, heard) == []
    avoided = tracker.on_silence("10.0.1.2", 5.2, DOMAINS, heard)
    assert avoided == ["10.0.1.3", "10.0.1.4"]


def test_the_own_domain_and_old_silences_do_not_count():
    """Guards against a node that avoids its neighbours."""
    tracker = silence.DomainSilence(own_domain="a")
    tracker.on_silence("10.0.0.1", 5.0, DOMAINS, _never)
    assert tracker.on_silence("10.0.0.2", 5.05, DOMAINS, _never) == []
    tracker.on_silence("10.0.1.1", 5.0, DOMAINS, _never)
    assert tracker.on_silence("10.0.1.2", 6.5, DOMAINS, _never) == []
