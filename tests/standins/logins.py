"""Let every client in, whatever its password."""

from typing import Any

from mysql_mimic.auth import (
    AuthPlugin,
    NativePasswordAuthPlugin,
    SimpleIdentityProvider,
)


class AnyPassword(NativePasswordAuthPlugin):
    """Carry out the usual handshake and let everybody in."""

    def password_matches(self, **_fields: Any) -> bool:
        """Accept whatever was given."""
        return True


class OpenDoor(SimpleIdentityProvider):
    """Know every user."""

    def get_plugins(self) -> list[AuthPlugin]:
        """Offer the one plugin."""
        return [AnyPassword()]
