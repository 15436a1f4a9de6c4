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


def test_nodes_that_were_heard_of_stay_in_use():
    """Guards against a domain avoided for two dead hosts."""
    tracker = silence.DomainSilence(own_domain="a")

    def heard(address, time):
        return address == "10.0.1.3"

    tracker.on_silence("10.0.1.1", 5.0, DOMAINS, heard)
    assert tracker.on_silence("10.0.1.2", 5.05, DOMAINS, heard) == ["10.0.1.4"]


def test_the_own_domain_and_old_silences_do_not_count():
    """Guards against a node that avoids its neighbours."""
    tracker = silence.DomainSilence(own_domain="a")
    tracker.on_silence("10.0.0.1", 5.0, DOMAINS, _never)
    assert tracker.on_silence("10.0.0.2", 5.05, DOMAINS, _never) == []
    tracker.on_silence("10.0.1.1", 5.0, DOMAINS, _never)
    assert tracker.on_silence("10.0.1.2", 6.5, DOMAINS, _never) == []
