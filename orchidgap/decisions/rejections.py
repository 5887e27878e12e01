"""The reasons why the decisions reject a request, under which rejections are counted.

This module holds no rules. `request_table` lists which function rejects for which reason.
"""

from __future__ import annotations

from enum import StrEnum


class RejectionReason(StrEnum):
    """The rule that rejected a request; members equal and hash like their names in logs."""

    TENANT_SHARE = "tenant_share"  # its tenant exceeds its share under overload
    LONG_QUEUE = "long_queue"  # the oldest request queued for a cache has waited too long
    NO_CACHE = "no_cache"  # no cache is ready
    CACHE_EJECTED = "cache_ejected"  # its cache is ejected, and no neighbour accepts it
    SLOW_START = "slow_start"  # its cache is cold and did not admit it at random
    CACHE_LIMIT = "cache_limit"  # its cache is at its concurrency limit
    CACHES_FAILED = "caches_failed"  # its cache failed it before, and no neighbour accepts it
    NO_OWNER = "no_owner"  # the server that owns its slot is not ready
    TOO_LITTLE_TIME = "too_little_time"  # its deadline is earlier than its server's quickest answer
    NO_ORIGIN = "no_origin"  # no origin is ready
    ORIGIN_EJECTED = "origin_ejected"  # all origins are ejected
    ORIGIN_LIMIT = "origin_limit"  # the origins' limits are below 1, and none admitted it at random
    ORIGIN_WAIT = "origin_wait"  # the wait for an origin would be too long
    NOT_REPEATABLE = "not_repeatable"  # it was possibly executed, or has used up its attempts
    NO_RETRY_CACHE = "no_retry_cache"  # its attempt failed, and no cache accepts another one
    RETRY_BUDGET = "retry_budget"  # the next cache lacks the retry budget
    ATTEMPT_FAILED = "attempt_failed"  # its last attempt failed, and no other may follow it
    ATTEMPT_TIMED_OUT = "attempt_timed_out"  # its last attempt timed out
    CACHE_QUEUE_TIMEOUT = "cache_queue_timeout"  # its time expired in the queue for a cache
    ORIGIN_QUEUE_TIMEOUT = "origin_queue_timeout"  # its time expired in the queue for an origin
    FETCH_QUEUE_TIMEOUT = "fetch_queue_timeout"  # its time expired during another fetch of its key
