"""The errors that the program raises for its callers, all below `OrchidgapError`.

Each one's text is a whole line for an operator; its fields say the same to code. This module
imports nothing, so that every package may use it.
"""

from __future__ import annotations

from os import PathLike


class OrchidgapError(Exception):
    """Base of all errors that the program raises on purpose.

    Args:
        message: The line that is printed.
    """

    def __init__(self, message: str) -> None:
        """Keep the message."""
        super().__init__(message)
        self.message = message


class ConfigError(OrchidgapError):
    """A process can't start, or can't take a configuration, because of what it was given.

    Args:
        message: The line that is printed.
        location: The file, folder or address that can't be used, where it is one.
        key: The key of the configuration that is wrong or missing, where it is one.
        expected: What would have been right, where that can be said.
    """

    def __init__(
        self, message: str, *, location: str = "", key: str = "", expected: str = ""
    ) -> None:
        """Keep what failed, where, and what was expected."""
        super().__init__(message)
        self.location = location
        self.key = key
        self.expected = expected


class SettingError(OrchidgapError, LookupError):
    """A setting that is missing or has a value that cannot be used.

    Attributes:
        setting: The setting's path; empty where several settings are concerned.
        found: What stood there; None where nothing did.
        expected: What should have stood there, beginning with `must`.
    """

    def __init__(
        self, message: str, setting: str = "", found: str | None = None, expected: str = ""
    ) -> None:
        """Takes the whole message, which is what is printed, and the parts it was made of."""
        super().__init__(message)
        self.setting = setting
        self.found = found
        self.expected = expected

    @classmethod
    def missing(cls, setting: str) -> SettingError:
        """The error for a setting that has to be given and is not.

        >>> SettingError.missing("rule-sets.count")
        SettingError('setting rule-sets.count is missing')
        """
        return cls(f"setting {setting} is missing", setting, None, "must be given")

    @classmethod
    def unusable(cls, setting: str, found: str, expected: str) -> SettingError:
        """The error for a setting whose value cannot be used.

        >>> SettingError.unusable("instances", "-1", "must not be under 0")
        SettingError('setting instances is -1, and must not be under 0')
        """
        return cls(f"setting {setting} is {found}, and {expected}", setting, found, expected)


class CorruptFileError(OrchidgapError):
    """A stored file is there, and its content isn't what was written.

    Args:
        path: The file.
        expected: What a sound file has.
    """

    def __init__(
        self, path: PathLike[str], expected: str = "content that matches the digest before it"
    ) -> None:
        """Keep the file and what was expected."""
        super().__init__(f"{path} is damaged or cut off")
        self.path = path
        self.expected = expected


class ScenarioError(OrchidgapError):
    """A simulation's or fault test's plan can't be played.

    Args:
        message: The line that is printed.
        location: The plan's file, where it is known.
        key: The key or step of the plan that is wrong, where it is one.
        expected: What would have been right, where that can be said.
    """

    def __init__(
        self, message: str, *, location: str = "", key: str = "", expected: str = ""
    ) -> None:
        """Keep what failed, where, and what was expected."""
        super().__init__(message)
        self.location = location
        self.key = key
        self.expected = expected
