"""HTTP/1.1 messages over asyncio streams, as the stand-ins need them."""

import asyncio
import socket
import struct


class BrokenMessage(Exception):
    """The connection ended inside a message, or the message is invalid."""


class Head:
    """Start line and header fields of one message."""

    def __init__(self, start_line, fields):
        self.start_line = start_line
        self.fields = fields

    def get(self, name, default=""):
        """Value of the first field of that name."""
        for known, value in self.fields:
            if known.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Reads a head; None if the connection ends before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as failure:
        if not failure.partial:
            return None
        raise BrokenMessage("connection ended inside a head") from failure
    lines = raw.decode("latin-1").split("\r\n")[:-2]
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name.strip(), value.strip()))
    return Head(lines[0], fields)


async def read_body(reader, head, until_close=False):
    """Reads the body that the head announces."""
    try:
        if head.get("Transfer-Encoding").lower() == "chunked":
            return await _read_chunks(reader)
        length = head.get("Content-Length")
        if length:
            return await reader.readexactly(int(length))
        return await reader.read() if until_close else b""
    except asyncio.IncompleteReadError as failure:
        raise BrokenMessage("connection ended inside a body") from failure


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


def message(start_line, fields, body=b"", length=True):
    """Serializes a message; the length of the body is added by default."""
    lines = [start_line] + [f"{name}: {value}" for name, value in fields]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines + ["", ""]).encode("latin-1") + body


def reset(writer):
    """Closes a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
    writer.transport.abort()
