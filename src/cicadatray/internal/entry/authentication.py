"""Authentication of HTTP requests."""

import hashlib

from starlette.requests import Request

from cicadatray.internal.entry.directory_cache import DirectoryCache
from cicadatray.internal.entry.errors import EntryError
from cicadatray.internal.wire.messages.configuration_messages import AccountRecord

BEARER_PREFIX = "Bearer "
UNCONFIRMED_RETRY_AFTER_S = 2.0


def authenticate(request: Request, directory: DirectoryCache) -> AccountRecord:
    """Returns the client account that the request's credential belongs to.

    Raises:
        EntryError: 401 for a missing or unknown credential, 503 while the configuration is not
            confirmed.
    """
    if not directory.is_confirmed():
        raise EntryError(
            503,
            "configuration_unconfirmed",
            "this entry cannot confirm the configuration in effect",
            UNCONFIRMED_RETRY_AFTER_S,
        )
    header = request.headers.get("authorization", "")
    if not header.startswith(BEARER_PREFIX):
        raise EntryError(401, "credential_missing", "send Authorization: Bearer <credential>")
    credential = header[len(BEARER_PREFIX) :].strip()
    digest = hashlib.sha256(credential.encode()).hexdigest()
    account = directory.accounts_by_digest.get(digest)
    if account is None:
        raise EntryError(401, "credential_unknown", "no client account has this credential")
    return account


def authenticate_operator(request: Request, directory: DirectoryCache) -> AccountRecord:
    """Returns the client account of the request, which must be an operator's.

    Raises:
        EntryError: see `authenticate`; also 403 for an account that is not an operator.
    """
    account = authenticate(request, directory)
    if not account.operator:
        raise EntryError(403, "operator_required", "this account is not an operator")
    return account
