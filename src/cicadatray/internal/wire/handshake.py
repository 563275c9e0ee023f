"""Mutual authentication of a new connection with the cluster secret.

Both sides send a nonce and an HMAC of both nonces, so that a recorded proof cannot be replayed.
"""

import asyncio
import hashlib
import hmac
import os

from cicadatray.internal.wire.errors import HandshakeError

PROTOCOL_GREETING = b"cicadatray/1"
NONCE_BYTES = 16
PROOF_BYTES = hashlib.sha256().digest_size
HANDSHAKE_TIMEOUT_S = 2.0


def _proof(secret: bytes, role: bytes, nonces: bytes) -> bytes:
    return hmac.new(secret, PROTOCOL_GREETING + role + nonces, hashlib.sha256).digest()


async def _exchange_nonces(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> tuple[bytes, bytes]:
    own_nonce = os.urandom(NONCE_BYTES)
    writer.write(PROTOCOL_GREETING + own_nonce)
    greeting = await reader.readexactly(len(PROTOCOL_GREETING) + NONCE_BYTES)
    if not greeting.startswith(PROTOCOL_GREETING):
        raise HandshakeError("the peer uses another protocol version")
    return own_nonce, greeting[len(PROTOCOL_GREETING) :]


async def _authenticate(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, secret: bytes, dialer: bool
) -> None:
    own_nonce, peer_nonce = await _exchange_nonces(reader, writer)
    nonces = own_nonce + peer_nonce if dialer else peer_nonce + own_nonce
    own_role, peer_role = (b"dialer", b"listener") if dialer else (b"listener", b"dialer")
    writer.write(_proof(secret, own_role, nonces))
    peer_proof = await reader.readexactly(PROOF_BYTES)
    if not hmac.compare_digest(peer_proof, _proof(secret, peer_role, nonces)):
        raise HandshakeError("the peer has another cluster secret")


async def authenticate(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, secret: bytes, dialer: bool
) -> None:
    """Proves knowledge of the secret to the peer and verifies the peer's proof.

    Raises:
        HandshakeError: wrong secret, wrong protocol version, connection lost or timeout.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            await _authenticate(reader, writer, secret, dialer)
    except (TimeoutError, EOFError, OSError) as error:
        raise HandshakeError(f"handshake failed: {error or type(error).__name__}") from error
