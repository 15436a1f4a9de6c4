"""The operator endpoint: status, health and recent decisions of a node.

Quart itself runs under asyncio; ``quart-trio`` is its closest equivalent for
trio.
"""

import hypercorn.config
import hypercorn.trio
import quart
import quart_trio
import trio

DEFAULT_DECISION_COUNT = 100
_GRACEFUL_SHUTDOWN_SECONDS = 1.0


def make_application(*, read_status, read_decisions):
    """Return the Quart application of a node.

    Parameters
    ----------
    read_status : callable
        ``read_status()`` returns the status as a dict.
    read_decisions : callable
        ``read_decisions(count)`` returns the latest decisions, newest last.

    Returns
    -------
    quart_trio.QuartTrio
    """
    application = quart_trio.QuartTrio("shallotbridge")

    @application.get("/status")
    async def status():
        return quart.jsonify(read_status())

    @application.get("/healthz")
    async def health():
        node_status = read_status()
        reason = "ok"
        if node_status["node_leaving"]:
            reason = "leaving"
        elif not node_status["enforcing"]:
            reason = "no configuration in force"
        code = 200 if reason == "ok" else 503
        return quart.jsonify({"state": reason}), code

    @application.get("/decisions")
    async def last_decisions():
        count = quart.request.args.get(
            "count", default=DEFAULT_DECISION_COUNT, type=int
        )
        return quart.jsonify(read_decisions(count))

    return application


async def serve(
    *, application, address, port, task_status=trio.TASK_STATUS_IGNORED
):
    """Serve the application until cancelled.

    Raises
    ------
    OSError
        The address cannot be bound.
    """
    config = hypercorn.config.Config()
    host = f"[{address}]" if ":" in address else address
    config.bind = [f"{host}:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = _GRACEFUL_SHUTDOWN_SECONDS
    await hypercorn.trio.serve(application, config, task_status=task_status)
