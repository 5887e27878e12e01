"""A background writer for tests on a virtual clock."""

from orchidgap.state.background_writer import BackgroundWriter


class ImmediateWriter(BackgroundWriter):
    """Writes immediately and without a child process, for which a virtual clock would not wait."""

    def write(self, name, content, on_written):
        try:
            self.store.write(name, content)
        except OSError as error:
            return on_written(error.strerror)
        on_written("")
