"""Reads a front's configuration from the environment and from the platform's JSON file.

`read` validates the values with `json_checks` and `settings_schema` and applies defaults.
"""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from limepath.configuration import decision_settings
from limepath.configuration.addresses import parse_host_port
from limepath.configuration.decision_settings import DecisionArguments
from limepath.configuration.json_checks import ConfigurationError, Number, require
from limepath.configuration.process_limits import (
    Limits,
    available_descriptors,
    plan_limits,
    resident_megabytes,
)
from limepath.configuration.settings_schema import COUNT, check_settings
from limepath.interface.settings import Idempotency

# Environment variables
NAME = "ROUTER_NAME"
LISTEN = "ROUTER_LISTEN"
CONFIGURATION = "ROUTER_CONFIG"

DEFAULT_NAME = "front"
DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_OPEN_REQUESTS = 20_000
DEFAULT_STREAMS = 1  # attempts in flight on one connection
DEFAULT_CONNECT_TIMEOUT_NS = 400_000_000
DEFAULT_CACHE_IDLE_NS = 30_000_000_000
CACHE_IDLE_PERCENT = 80  # of the endpoint's idle timeout: the front must close a connection first
OVERLOAD_RETRY_AFTER_DIVISOR = 10  # the permitted Retry-After divided by this is sent on overload
MAX_CLIENT_DEADLINE_FACTOR = 2  # maximum deadline in a request, in multiples of its service's deadline

# Times of the shutdown, in microseconds. By the protocol page, SIGKILL follows SIGTERM no sooner than after
# the longest deadline (3 s at most) plus 0.7 s.
MAX_DEADLINE_AWAITED = 3_000_000
LAST_ANSWER_AFTER_DEADLINE = 600_000
# Requests arrive for up to 0.6 s after SIGTERM. A front on a busy core accepts them for longer if SIGKILL
# comes late enough, and stops DRAINED_BEFORE_LAST_ANSWER before its last answer.
LAST_REQUEST_ARRIVAL = 601_000
MAX_DRAIN_PERIOD = 1_200_000
DRAINED_BEFORE_LAST_ANSWER = 100_000

MILLISECOND = 1000  # microseconds
INTEGER = Number(integer=True)


class Service(NamedTuple):
    """The settings of a delivery service that the front's network code uses.

    Attributes:
        index: the service's index in the settings.
        uncacheable: whether the service's objects are never cached; requests to it are writes.
        max_deadline: the maximum deadline in a request, in microseconds.
        is_idempotent: whether its requests may run any number of times.
    """

    index: int
    uncacheable: bool
    max_deadline: int
    is_idempotent: bool


class FrontSettings(NamedTuple):
    """The configuration of a front.

    Attributes:
        name: the front's name.
        listen: the address that clients connect to.
        seed: the seed of the random number generators.
        changelog: the address of the change log.
        known: the endpoint list at the start, in the format of the change log.
        settings: the platform's settings, unchanged.
        arguments: the keyword arguments of the decision module.
        services: the delivery services by name.
        reports: whether endpoints report their load.
        limits: the limits of the network code.
    """

    name: str
    listen: tuple[str, int]
    seed: int
    changelog: tuple[str, int]
    known: dict[str, Any]
    settings: dict[str, Any]
    arguments: DecisionArguments
    services: dict[bytes, Service]
    reports: bool
    limits: Limits


class Reload(NamedTuple):
    """The result of reading the file again for a running front.

    Attributes:
        changelog: the address of the change log in the file.
        differing: keys whose values in the file differ from the running front's and need a restart to apply.
    """

    changelog: tuple[str, int]
    differing: list[str]


def read(environ: Mapping[str, str]) -> FrontSettings:
    """Read the configuration from the environment and the file that it names.

    Raises:
        ConfigurationError: the configuration is invalid; the message names the key.
    """
    path = environ.get(CONFIGURATION)
    if not path:
        raise ConfigurationError(f"{CONFIGURATION}: not set in the environment")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as error:
        raise ConfigurationError(f"{CONFIGURATION}: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigurationError(f"{CONFIGURATION}: {path}: not JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigurationError(f"{CONFIGURATION}: {path}: expected a JSON object")
    return front_settings(document, environ)


def read_again(environ: Mapping[str, str], running: FrontSettings) -> Reload:
    """Read the configuration again and compare it with that of a running front.

    Raises:
        ConfigurationError: the configuration is invalid; the message names the key.
    """
    settings = read(environ)
    is_changed = {
        "name": settings.name != running.name,
        "listen": settings.listen != running.listen,
        "seed": settings.seed != running.seed,
        "settings": settings.settings != running.settings,
        "limits": settings.limits != running.limits,
    }  # `known` is not compared because it only applies at the start; the change log is more recent
    return Reload(settings.changelog, [key for key, changed in is_changed.items() if changed])


def front_settings(document: Mapping[str, Any], environ: Mapping[str, str]) -> FrontSettings:
    """Return the configuration in a JSON document. Environment variables override it.

    Raises:
        ConfigurationError: the configuration is invalid; the message names the key.
    """
    seed = _seed(document)
    settings = require(document, "settings", dict)
    known = _known_endpoints(document)
    check_settings(settings)
    try:
        arguments = decision_settings.decision_arguments(settings)
        services = _services(settings, arguments)
    except KeyError as error:
        raise ConfigurationError(f"settings: unknown value {error}") from None
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        raise ConfigurationError(f"settings: {error}") from None
    limits = _limits(require(document, "limits", dict, {}), settings.get("limits", {}), arguments)
    return FrontSettings(
        name=environ.get(NAME) or require(document, "name", str, DEFAULT_NAME),
        listen=_address(document, "listen", environ.get(LISTEN)),
        seed=seed,
        changelog=_address(document, "changelog"),
        known=known,
        settings=settings,
        arguments=arguments,
        services=services,
        reports=bool(decision_settings.load_fields(settings)),
        limits=limits,
    )


def _seed(document: Mapping[str, Any]) -> int:
    text = require(document, "seed", str)
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigurationError(f"seed: {text!r}: expected a hexadecimal number") from None


def _address(document: Mapping[str, Any], key: str, default: str | None = None) -> tuple[str, int]:
    text = require(document, key, str, default)
    try:
        return parse_host_port(text)
    except ValueError:
        raise ConfigurationError(f"{key}: {text!r}: expected host:port") from None


def _known_endpoints(document: Mapping[str, Any]) -> dict[str, Any]:
    known = require(document, "known", dict, {"seq": 0, "results": []})
    require(known, "seq", INTEGER, where="known.")
    require(known, "results", list, where="known.")
    return known


def _services(settings: Mapping[str, Any], arguments: DecisionArguments) -> dict[bytes, Service]:
    return {
        entry["name"].encode(): Service(
            index,
            service.uncacheable,
            service.deadline * MAX_CLIENT_DEADLINE_FACTOR,
            service.idempotency == Idempotency.IDEMPOTENT,
        )
        for index, (entry, service) in enumerate(zip(settings["classes"], arguments["services"], strict=True))
    }


class _ShutdownTimes(NamedTuple):
    """Times after SIGTERM, in microseconds; see `Limits`."""

    last_answer: int
    drain_period: int


def _shutdown_times(machine: Mapping[str, Any], longest_deadline: int) -> _ShutdownTimes:
    default_last_answer = min(longest_deadline, MAX_DEADLINE_AWAITED) + LAST_ANSWER_AFTER_DEADLINE
    last_answer_ms = require(
        machine, "last_answer_ms", INTEGER, default_last_answer // MILLISECOND, "limits."
    )
    last_answer = int(last_answer_ms) * MILLISECOND
    default_drain_period = min(
        MAX_DRAIN_PERIOD, max(LAST_REQUEST_ARRIVAL, last_answer - DRAINED_BEFORE_LAST_ANSWER)
    )
    drain_period_ms = require(machine, "leaving_ms", INTEGER, default_drain_period // MILLISECOND, "limits.")
    return _ShutdownTimes(last_answer, int(drain_period_ms) * MILLISECOND)


def _limits(machine: Mapping[str, Any], permitted: Mapping[str, Any], arguments: DecisionArguments) -> Limits:
    """Return the limits of a front's network code.

    Args:
        machine: the document's `limits`: the resources of the machine.
        permitted: the document's `settings.limits`: the limits that the platform permits.
        arguments: the settings of the decision module.
    """
    descriptors = int(require(machine, "sockets", COUNT, DEFAULT_DESCRIPTORS, "limits."))
    memory_mb = int(require(machine, "memory_mb", COUNT, DEFAULT_MEMORY_MB, "limits."))
    longest_deadline = max(service.deadline for service in arguments["services"])
    shutdown = _shutdown_times(machine, longest_deadline)
    microseconds = decision_settings.to_microseconds
    connect = microseconds(permitted.get("connect-timeout", DEFAULT_CONNECT_TIMEOUT_NS))
    cache_idle = microseconds(permitted.get("conn-idle", DEFAULT_CACHE_IDLE_NS))
    grace = arguments["grace"]
    max_retry_after = arguments["allowance"].max_retry_after
    return plan_limits(
        available_descriptors(descriptors),
        memory_mb,
        permitted.get("streams-per-conn", DEFAULT_STREAMS),
        resident_megabytes(),
        open_requests=permitted.get("max-open", DEFAULT_OPEN_REQUESTS),
        drain_period=shutdown.drain_period,
        last_answer=shutdown.last_answer,
        last_answer_read_timeout=longest_deadline,
        connect=connect,
        overload_retry_after=max_retry_after // OVERLOAD_RETRY_AFTER_DIVISOR,
        connection_wait=min(connect, grace.drain, grace.purge or connect),
        cache_idle=cache_idle * CACHE_IDLE_PERCENT // 100,
    )
