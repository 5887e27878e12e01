"""The exceptions that the program raises for its callers, all derived from `OrchidgapError`.

The message of each is one complete line for operators; its attributes have the same information for
code. This module imports no other module of the program, so every package may use it.
"""

from __future__ import annotations

from os import PathLike


class OrchidgapError(Exception):
    """Base of all exceptions that the program raises on purpose.

    Args:
        message: The line that is printed.
    """

    def __init__(self, message: str) -> None:
        """Store the message."""
        super().__init__(message)
        self.message = message


class ConfigError(OrchidgapError):
    """A process cannot start, or cannot apply a configuration, because of invalid input.

    Args:
        message: The line that is printed.
        location: The file, folder or address that cannot be used, empty if not applicable.
        key: The key of the configuration that is invalid or missing, empty if not applicable.
        expected: A description of a valid value, empty if there is none.
    """

    def __init__(
        self, message: str, *, location: str = "", key: str = "", expected: str = ""
    ) -> None:
        """Store the message, the location, the key and what was expected."""
        super().__init__(message)
        self.location = location
        self.key = key
        self.expected = expected


class SettingError(OrchidgapError, LookupError):
    """A setting is missing or has an invalid value.

    Args:
        message: The line that is printed.
        setting: The setting's path, such as `rule-sets.0.client-timeout`.
        value: The invalid value; None if the setting is missing.
        expected: A description of a valid value, empty if there is none.
    """

    def __init__(
        self, message: str, *, setting: str = "", value: object = None, expected: str = ""
    ) -> None:
        """Store the message, the setting, its value and what was expected."""
        super().__init__(message)
        self.setting = setting
        self.value = value
        self.expected = expected

    @classmethod
    def missing(cls, setting: str) -> SettingError:
        """Create the error for a required setting that is missing.

        >>> SettingError.missing("rule-sets.count")
        SettingError('setting rule-sets.count is missing')
        """
        message = f"setting {setting} is missing"
        return cls(message, setting=setting, expected="is required")

    @classmethod
    def unusable(cls, setting: str, value: str, expected: str) -> SettingError:
        """Create the error for a setting with an invalid value.

        >>> SettingError.unusable("instances", "-1", "must not be under 0")
        SettingError('setting instances is -1, and must not be under 0')
        """
        message = f"setting {setting} is {value}, and {expected}"
        return cls(message, setting=setting, value=value, expected=expected)


class CorruptFileError(OrchidgapError):
    """A stored file exists, but its content is not what was written.

    Args:
        path: The path of the file.
        expected: A description of a valid file.
    """

    def __init__(
        self, path: PathLike[str], expected: str = "content that matches the digest before it"
    ) -> None:
        """Store the path and what was expected."""
        super().__init__(f"{path} is corrupt or truncated")
        self.path = path
        self.expected = expected


class ScenarioError(OrchidgapError):
    """The plan of a simulation or fault test cannot be run.

    Args:
        message: The line that is printed.
        location: The plan's file, empty if not known.
        key: The key or step of the plan that is invalid, empty if not applicable.
        expected: A description of a valid value, empty if there is none.
    """

    def __init__(
        self, message: str, *, location: str = "", key: str = "", expected: str = ""
    ) -> None:
        """Store the message, the location, the key and what was expected."""
        super().__init__(message)
        self.location = location
        self.key = key
        self.expected = expected
