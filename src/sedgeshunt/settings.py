"""Read the settings of one proxy from a TOML file."""

from ipaddress import ip_address
from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct, convert, field

from sedgeshunt.exceptions import SettingsInvalid
from sedgeshunt.identifiers import ProxyId, Seconds, ZoneId
from sedgeshunt.logs import LogLevel
from sedgeshunt.ports import Address
from sedgeshunt.settings_check import find_problems, read_document


class IpNumber:
    """Hold a checked IP number; host names are not looked up."""

    __slots__ = ('text',)

    def __init__(self, text: str) -> None:
        """Keep `text`; raise ValueError if it is no IP number."""
        self.text = str(ip_address(text))


Host = Annotated[IpNumber, Meta(description='an IP number such as 10.0.0.5')]
Port = Annotated[
    int,
    Meta(ge=1, le=65535, description='a port number from 1 to 65535'),
]
Name = Annotated[
    str,
    Meta(
        pattern='^[A-Za-z0-9._-]{1,63}$',
        description='1 to 63 letters, digits, dots, dashes or underscores',
    ),
]
Grace = Annotated[
    float,
    Meta(ge=0, le=600, description='seconds from 0 to 600'),
]
Secret = Annotated[
    str,
    Meta(
        min_length=16,
        description='16 or more random characters, alike on all proxies',
    ),
]
FilePath = Annotated[str, Meta(min_length=1, description='the path of a file')]
Users = Annotated[
    dict[str, str],
    Meta(description='a table of users and their passwords'),
]
Text = Annotated[str, Meta(description='a text in quotes')]


class Endpoint(Struct, frozen=True):
    """Locate one socket."""

    host: Host
    port: Port

    def get_address(self) -> Address:
        """Return it as the ports want it."""
        return Address(self.host.text, self.port)


class CallersSettings(Endpoint, frozen=True):
    """Say where and how callers come in."""

    tls_certificate: FilePath | None = None
    tls_key: FilePath | None = None
    # Passwords by user; with none, every user is let in.
    users: Users = field(default_factory=dict)


class PeersSettings(Endpoint, frozen=True):
    """Say where other proxies come in and whom to ask first."""

    seeds: list[Endpoint] = field(default_factory=list)


class PlatformSettings(Struct, frozen=True):
    """Locate the platform's key-value service and its list of instances."""

    endpoints: Annotated[
        list[Endpoint],
        Meta(min_length=1, description='one table or more with host and port'),
    ]
    instance_list: Endpoint


class TargetsSettings(Struct, frozen=True):
    """Say how the proxy logs in to targets."""

    password: Text = ''


class SessionKey(Struct, frozen=True):
    """Hold one key for session tokens; the first signs, all verify."""

    id: Name
    secret: Secret


class StatsdSettings(Endpoint, frozen=True):
    """Say where metrics go."""

    prefix: Text = 'sedgeshunt'


class Settings(Struct, frozen=True):
    """Hold all that a proxy is told at its start."""

    name: Name
    zone: Name
    callers: CallersSettings
    peers: PeersSettings
    platform: PlatformSettings
    session_keys: Annotated[
        list[SessionKey],
        Meta(min_length=1, description='one table or more with id and secret'),
    ]
    targets: TargetsSettings = TargetsSettings()
    statsd: StatsdSettings | None = None
    log_level: LogLevel = LogLevel.INFO
    grace_seconds: Grace = 10

    @property
    def proxy(self) -> ProxyId:
        """Return the proxy's name as its identifier."""
        return ProxyId(self.name)

    @property
    def zone_id(self) -> ZoneId:
        """Return the availability zone as an identifier."""
        return ZoneId(self.zone)

    @property
    def grace(self) -> Seconds:
        """Return how long a graceful stop may wait for transactions."""
        return Seconds(self.grace_seconds)


def read_settings(path: Path) -> Settings:
    """Read and check the file at `path`; raise SettingsInvalid."""
    document = read_document(path)
    problems = find_problems(Settings, document, _read_custom)
    if not problems:
        settings = convert(document, Settings, dec_hook=_read_custom)
        problems = [*_check_tls(settings.callers), *_check_keys(settings)]
    if problems:
        raise SettingsInvalid(str(path), problems)
    return settings


def _read_custom(wanted: type, given: object) -> object:
    if wanted is not IpNumber or not isinstance(given, str):
        raise TypeError(f'Expected `str`, got `{type(given).__name__}`')
    return IpNumber(given)


def _check_tls(callers: CallersSettings) -> list[str]:
    files = {
        'callers.tls_certificate': callers.tls_certificate,
        'callers.tls_key': callers.tls_key,
    }
    given = {name: path for name, path in files.items() if path}
    if len(given) == 1:
        name = next(iter(given))
        return [f'{name} stands alone; give both TLS files or neither']
    return [
        f'{name}: no file at {path}; give the path of a PEM file'
        for name, path in given.items()
        if not Path(path).is_file()
    ]


def _check_keys(settings: Settings) -> list[str]:
    ids = [key.id for key in settings.session_keys]
    return [
        f'session_keys: id {twice} is there twice; give each key its own'
        for twice in sorted({one for one in ids if ids.count(one) > 1})
    ]
