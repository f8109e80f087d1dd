"""CBOR and HTTP/1.1 for the stand-ins. Standard library only."""

import json
import socket
import struct
import threading


def encode(value):
    out = bytearray()
    _encode(value, out)
    return bytes(out)


def _head(major, number, out):
    if number < 24:
        out.append(major << 5 | number)
    elif number < 1 << 8:
        out += bytes((major << 5 | 24, number))
    elif number < 1 << 16:
        out += struct.pack(">BH", major << 5 | 25, number)
    elif number < 1 << 32:
        out += struct.pack(">BI", major << 5 | 26, number)
    else:
        out += struct.pack(">BQ", major << 5 | 27, number)


def _encode(value, out):
    if value is None:
        out.append(0xF6)
    elif value is True:
        out.append(0xF5)
    elif value is False:
        out.append(0xF4)
    elif isinstance(value, int):
        if value >= 0:
            _head(0, value, out)
        else:
            _head(1, -1 - value, out)
    elif isinstance(value, float):
        out += struct.pack(">Bd", 0xFB, value)
    elif isinstance(value, str):
        data = value.encode()
        _head(3, len(data), out)
        out += data
    elif isinstance(value, (list, tuple)):
        _head(4, len(value), out)
        for item in value:
            _encode(item, out)
    elif isinstance(value, dict):
        _head(5, len(value), out)
        for key, item in value.items():
            _encode(key, out)
            _encode(item, out)
    else:
        raise TypeError(type(value))


def decode(data):
    value, at = _decode(data, 0)
    if at != len(data):
        raise ValueError("bytes after the CBOR value")
    return value


def _decode(data, at):
    first = data[at]
    major, info = first >> 5, first & 31
    at += 1
    if major == 7:
        if info == 20:
            return False, at
        if info == 21:
            return True, at
        if info in (22, 23):
            return None, at
        if info == 25:
            return struct.unpack_from(">e", data, at)[0], at + 2
        if info == 26:
            return struct.unpack_from(">f", data, at)[0], at + 4
        if info == 27:
            return struct.unpack_from(">d", data, at)[0], at + 8
        raise ValueError("simple value")
    number = info
    if info == 24:
        number, at = data[at], at + 1
    elif info == 25:
        number, at = struct.unpack_from(">H", data, at)[0], at + 2
    elif info == 26:
        number, at = struct.unpack_from(">I", data, at)[0], at + 4
    elif info == 27:
        number, at = struct.unpack_from(">Q", data, at)[0], at + 8
    elif info > 27:
        raise ValueError("indefinite length")
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major == 2:
        return bytes(data[at:at + number]), at + number
    if major == 3:
        return bytes(data[at:at + number]).decode(), at + number
    if major == 4:
        items = []
        for _ in range(number):
            item, at = _decode(data, at)
            items.append(item)
        return items, at
    if major == 5:
        entries = {}
        for _ in range(number):
            key, at = _decode(data, at)
            entries[key], at = _decode(data, at)
        return entries, at
    raise ValueError("tag")


def json_size(value):
    """The size of a value as the pages count it: in its JSON form."""
    return len(json.dumps(value, separators=(",", ":")))


class Closed(Exception):
    """The other side closed the connection before the message was complete."""


def read_message(stream):
    """Reads one HTTP message. Returns its first line, its headers and its body."""
    line = stream.readline(65536)
    if not line:
        raise Closed
    headers = {}
    while True:
        header = stream.readline(65536)
        if not header:
            raise Closed
        header = header.strip()
        if not header:
            break
        name, _, text = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = text.strip()
    length = int(headers.get("content-length", "0"))
    body = stream.read(length) if length else b""
    if len(body) < length:
        raise Closed
    return line.decode("latin-1").strip(), headers, body


class Answer:
    """A response of a stand-in. `status` None: the connection is closed without a response."""

    def __init__(self, status, value=None):
        self.status = status
        self.value = {} if value is None else value


SILENT = Answer(None)


def serve(handler, host="127.0.0.1"):
    """Serves on a free port, each connection on a thread. `handler(method, path, body)` returns an `Answer`."""
    listener = socket.create_server((host, 0), backlog=512)

    def connection(client):
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = client.makefile("rb")
            while True:
                line, headers, body = read_message(stream)
                method, path, _ = line.split(" ", 2)
                answer = handler(method, path, body)
                if answer.status is None:
                    # A reset, so that the client notices at once.
                    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return
                data = encode(answer.value)
                head = f"HTTP/1.1 {answer.status} S\r\nContent-Type: application/cbor\r\nContent-Length: {len(data)}\r\n\r\n"
                client.sendall(head.encode() + data)
        except (OSError, Closed, ValueError):
            pass
        finally:
            try:
                stream.close()
            except (OSError, UnboundLocalError):
                pass
            client.close()

    def loop():
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=connection, args=(client,), daemon=True).start()

    threading.Thread(target=loop, daemon=True).start()
    return listener.getsockname()


class Client:
    """A connection that stays open between requests. Raises OSError, Closed or ValueError on any failure."""

    def __init__(self, address, timeout):
        self.address, self.timeout = address, timeout
        self.socket = None
        self.stream = None

    def close(self):
        if self.socket:
            try:
                self.stream.close()
                self.socket.close()
            except OSError:
                pass
        self.socket = None

    def request(self, method, path, value=None, raw=None):
        """Returns the status, the decoded body (None if it is not CBOR) and the headers."""
        fresh = self.socket is None
        try:
            return self._request(method, path, value, raw)
        except (OSError, Closed, ValueError):
            self.close()
            if fresh:
                raise
            # The other side may have closed the idle connection; the caller decides about any other failure.
            raise

    def _request(self, method, path, value, raw):
        if self.socket is None:
            self.socket = socket.create_connection(self.address, timeout=self.timeout)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.stream = self.socket.makefile("rb")
        data = raw if raw is not None else (encode(value) if value is not None else b"")
        host = f"{self.address[0]}:{self.address[1]}"
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/cbor\r\nContent-Length: {len(data)}\r\n\r\n"
        self.socket.sendall(head.encode() + data)
        line, headers, body = read_message(self.stream)
        status = int(line.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            return status, decode(body) if body else None, headers
        except (ValueError, IndexError, struct.error):
            return status, None, headers


def request(address, method, path, value=None, timeout=5.0):
    """Sends one request on a connection of its own. Returns the status and the body; status 0: no response."""
    client = Client(address, timeout)
    try:
        status, body, _ = client.request(method, path, value)
        return status, body
    except (OSError, Closed, ValueError):
        return 0, None
    finally:
        client.close()
