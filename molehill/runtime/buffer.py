"""The one buffer of a connection: grows as it needs, compacted in place, never beyond its bound."""


class Buffer:
    START = 4096  # holds the usual message whole

    def __init__(self, most: int):
        self.most, self.data, self.start, self.end = most, bytearray(min(self.START, most)), 0, 0

    def __len__(self):
        return self.end - self.start

    def space(self) -> memoryview:
        """Room to read into; empty only when the bound is reached."""
        if self.end == len(self.data):
            if self.start:
                size = len(self)
                self.data[:size] = self.data[self.start : self.end]
                self.start, self.end = 0, size
            if len(self) > len(self.data) // 2:
                self.data.extend(bytes(min(len(self.data), self.most - len(self.data))))
        return memoryview(self.data)[self.end :]

    def filled(self, count: int) -> None:
        self.end += count

    def find(self, mark: bytes, since: int = 0) -> int:
        """Where `mark` stands, counted from what is unread, or -1."""
        at = self.data.find(mark, self.start + since, self.end)
        return at - self.start if at >= 0 else -1

    def peek(self, count: int) -> bytes:
        return bytes(self.data[self.start : min(self.end, self.start + count)])

    def take(self, count: int) -> bytes:
        taken = self.peek(count)
        self.start += len(taken)
        if self.start == self.end:
            self.start = self.end = 0
        return taken
