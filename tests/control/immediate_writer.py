"""A background writer for tests on a virtual clock."""

from orchidgap.state.background_writer import BackgroundWriter


class ImmediateWriter(BackgroundWriter):
    """Writes at once and without a child: a virtual clock does not wait for one."""

    def write(self, name, content, on_written):
        try:
            self.store.write(name, content)
        except OSError as error:
            return on_written(error.strerror)
        on_written("")
