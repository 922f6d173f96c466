"""The one buffer of a connection: grows as it needs, compacted in place, never beyond its bound."""


class Buffer:
    INITIAL_SIZE = 4096  # holds the usual message whole

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
        """Room to read into; empty only when the bound is reached."""
        if self.end == len(self.data):
            if self.start:
                size = len(self)
                self.data[:size] = self.data[self.start : self.end]
                self.start, self.end = 0, size
            if len(self) > len(self.data) // 2:
                self.data.extend(bytes(min(len(self.data), self.max_size - len(self.data))))
        return memoryview(self.data)[self.end :]

    def mark_filled(self, count: int) -> None:
        self.end += count

    def find(self, pattern: bytes, offset: int = 0) -> int:
        """Where `pattern` stands, counted from what is unread, or -1."""
        position = self.data.find(pattern, self.start + offset, self.end)
        return position - self.start if position >= 0 else -1

    def peek(self, count: int) -> bytes:
        return bytes(self.data[self.start : min(self.end, self.start + count)])

    def take(self, count: int) -> bytes:
        taken = self.peek(count)
        self.start += len(taken)
        if self.start == self.end:
            self.start = self.end = 0
        return taken
