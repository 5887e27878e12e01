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
    """A setting is missing or can't have the value that it has.

    Args:
        message: The line that is printed.
        setting: The setting's path, such as `rule-sets.0.client-timeout`.
        value: What it is; None where it is missing.
        expected: What would have been right, where that can be said.
    """

    def __init__(
        self, message: str, *, setting: str = "", value: object = None, expected: str = ""
    ) -> None:
        """Keep what failed, what it is, and what was expected."""
        super().__init__(message)
        self.setting = setting
        self.value = value
        self.expected = expected

    @classmethod
    def missing(cls, setting: str) -> SettingError:
        """The error for a setting that has to be given and is not.

        >>> SettingError.missing("rule-sets.count")
        SettingError('setting rule-sets.count is missing')
        """
        message = f"setting {setting} is missing"
        return cls(message, setting=setting, expected="must be given")

    @classmethod
    def unusable(cls, setting: str, value: str, expected: str) -> SettingError:
        """The error for a setting whose value cannot be used.

        >>> SettingError.unusable("instances", "-1", "must not be under 0")
        SettingError('setting instances is -1, and must not be under 0')
        """
        message = f"setting {setting} is {value}, and {expected}"
        return cls(message, setting=setting, value=value, expected=expected)


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
