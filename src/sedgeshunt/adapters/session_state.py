"""Keep what a caller has set for its session."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from result import Err, Result

from sedgeshunt.adapters.refusals import NOT_SUPPORTED, WRONG_VALUE
from sedgeshunt.adapters.session_statements import Setting, parse_settings
from sedgeshunt.adapters.session_variables import (
    AUTOCOMMIT,
    OFF_WORDS,
    find_setting_problem,
)
from sedgeshunt.identifiers import GroupId
from sedgeshunt.requests.attribute_values import ATTRIBUTES, Attributes
from sedgeshunt.requests.attributes import (
    PREFIX,
    REQUEST_ID,
    read_prefixed_attributes,
)
from sedgeshunt.requests.outcome import Refusal, Rejected

OWN_REQUEST_ID = PREFIX + REQUEST_ID


@dataclass(frozen=True, slots=True)
class SettingsChange:
    """Hold what a SET statement changes, once all of it is accepted."""

    own_texts: dict[str, str]
    defaults: Attributes
    autocommit: bool


@dataclass(slots=True)
class SessionState:
    """Hold one caller's user, group, defaults and variables."""

    number: int
    user: str
    connect_defaults: Attributes
    defaults: Attributes
    group: GroupId | None = None
    autocommit: bool = True
    last_insert_id: int = 0
    # Texts of SET @sedgeshunt_..., by name.
    own_texts: dict[str, str] = field(default_factory=dict)

    def check(self, body: str) -> Result[SettingsChange, Refusal]:
        """Check what follows SET; nothing is changed yet."""
        settings = parse_settings(body)
        if settings is None:
            reason = 'this form of SET is not supported; set plain values'
            return Err(NOT_SUPPORTED.reject(reason))
        return self._check(settings)

    def apply(self, change: SettingsChange) -> None:
        """Take over a checked change."""
        self.own_texts = change.own_texts
        self.defaults = change.defaults
        self.autocommit = change.autocommit

    def reset(self) -> None:
        """Return to what the caller brought when it connected."""
        self.apply(SettingsChange({}, self.connect_defaults, autocommit=True))

    def spend_request_id(self) -> None:
        """Forget the id of a request that is done."""
        # Kept, it would make the caller's next write a repeat of this one,
        # which is then answered and never run.
        if self.own_texts.pop(OWN_REQUEST_ID, None) is None:
            return
        merged = read_prefixed_attributes(self.own_texts, self.connect_defaults)
        self.defaults = merged.unwrap_or(self.defaults)

    def _check(
        self,
        settings: Iterable[Setting],
    ) -> Result[SettingsChange, Refusal]:
        texts = dict(self.own_texts)
        autocommit = self.autocommit
        for setting in settings:
            problem = _find_problem(setting)
            if problem is not None:
                return Err(problem)
            if setting.is_own:
                _set_own(texts, setting)
            elif setting.name == AUTOCOMMIT:
                autocommit = setting.text.lower() not in OFF_WORDS
        return read_prefixed_attributes(texts, self.connect_defaults).map(
            lambda defaults: SettingsChange(texts, defaults, autocommit),
        )


def _set_own(texts: dict[str, str], setting: Setting) -> None:
    if setting.is_reset:
        texts.pop(setting.name, None)
    else:
        texts[setting.name] = setting.text


def _find_problem(setting: Setting) -> Rejected | None:
    if not setting.is_own:
        problem = find_setting_problem(setting.name, setting.text)
        return WRONG_VALUE.reject(problem) if problem else None
    name = setting.name
    if name.startswith(PREFIX) and name.removeprefix(PREFIX) in ATTRIBUTES:
        return None
    choices = ', '.join(PREFIX + known for known in ATTRIBUTES)
    return WRONG_VALUE.reject(
        f'variable @{name} would be set on connections that callers share; '
        + f'use one of {choices}',
    )
