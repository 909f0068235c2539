"""The exceptions of the store."""

from ochrespan.storage.errors import FormatError, StorageError, UnflushedRecordsError


def test_every_exception_derives_from_the_base():
    assert issubclass(FormatError, StorageError)
    assert issubclass(UnflushedRecordsError, StorageError)


def test_a_format_error_reports_what_was_found_and_allowed():
    error = FormatError("b'OCHS' version 2", "b'OCHS' version 1")
    assert str(error) == "found b'OCHS' version 2, allowed b'OCHS' version 1"
    assert error.found == "b'OCHS' version 2"
    assert error.allowed == "b'OCHS' version 1"
