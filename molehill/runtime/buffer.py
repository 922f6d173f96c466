"""The read buffer of a connection: grows on demand up to a limit and is compacted in place."""


class Buffer:
    """Bytes that were read and not yet consumed, at most `max_size` of them."""

    INITIAL_SIZE = 4096  # bytes; holds the usual message whole

    def __init__(self, max_size: int):
        self.max_size, self.data, self.start, self.end = (
            max_size,
            bytearray(min(self.INITIAL_SIZE, max_size)),
            0,
            0,
        )

    def __len__(self):
        return self.end - self.start

    def free_space(self) -> memoryview:
        """Returns the space to read into; it is empty only when the limit is reached."""
        if self.end == len(self.data):
            if self.start:
                size = len(self)
                self.data[:size] = self.data[self.start : self.end]
                self.start, self.end = 0, size
            if len(self) > len(self.data) // 2:
                self.data.extend(bytes(min(len(self.data), self.max_size - len(self.data))))
        return memoryview(self.data)[self.end :]

    def mark_filled(self, count: int) -> None:
        """Adds the first `count` bytes of the free space to the content."""
        self.end += count

    def find(self, pattern: bytes, offset: int = 0) -> int:
        """Returns the position of `pattern` from the first unread byte, or -1 if it is absent."""
        position = self.data.find(pattern, self.start + offset, self.end)
        return position - self.start if position >= 0 else -1

    def peek(self, count: int, offset: int = 0) -> bytes:
        """Returns up to `count` unread bytes behind the first `offset`, and leaves them there."""
        start = min(self.end, self.start + offset)
        return bytes(self.data[start : min(self.end, start + count)])

    def take(self, count: int) -> bytes:
        """Removes and returns up to `count` unread bytes."""
        data = self.peek(count)
        self.start += len(data)
        if self.start == self.end:
            self.start = self.end = 0
        return data
