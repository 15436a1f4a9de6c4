"""Authenticates requests by the API keys of the customers.

A key is a secret: it is used only to look up its customer, and is in no error,
log line, metric or message.
"""

from ..core import errors


def authenticate(configuration, route, key):
    """Return the customer that holds the key of a request.

    Parameters
    ----------
    configuration : model.Configuration
    route : model.Route
    key : str or None

    Returns
    -------
    model.Customer or None
        None without customers, and on a public route without a known key.

    Raises
    ------
    errors.UnknownKeyError
    """
    customers_by_key = configuration.customers_by_key
    if customers_by_key is None:
        return None
    customer = customers_by_key.get(key)
    if customer is None and not route.is_public:
        found = "no key" if key is None else "an unknown key"
        raise errors.UnknownKeyError(
            f"{found}; route {route.name!r} needs the key of a customer of "
            f"version {configuration.version}"
        )
    return customer


def replace_headers(headers, customer, header_names):
    """Return headers without the key and with the name of the customer.

    Parameters
    ----------
    headers : list of (str, str)
    customer : model.Customer or None
    header_names : model.HeaderNames

    Examples
    --------
    >>> import types
    >>> names = types.SimpleNamespace(api_key="key", customer="customer")
    >>> replace_headers([("key", "k"), ("customer", "x")], None, names)
    []
    """
    removed = (header_names.api_key, header_names.customer)
    kept = [header for header in headers if header[0] not in removed]
    if customer is not None:
        kept.append((header_names.customer, customer.name))
    return kept


def priorities(customer, route):
    """Return the priority of a request and that among equal ones.

    Without a priority of the customer, both are that of the route.
    """
    if customer is None or customer.priority is None:
        return route.priority, route.priority
    return customer.priority, route.priority
