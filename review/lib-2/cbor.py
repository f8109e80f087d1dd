"""CBOR (RFC 8949) for maps, lists, text, numbers, booleans and null, as the protocol uses it."""
import struct


def _head(major, n):
    if n < 24:
        return bytes([major << 5 | n])
    for code, size, fmt in ((24, 1, ">B"), (25, 2, ">H"), (26, 4, ">I"), (27, 8, ">Q")):
        if n < 1 << (8 * size):
            return bytes([major << 5 | code]) + struct.pack(fmt, n)
    raise ValueError("integer too large")


def dumps(value):
    out = []
    _dump(value, out)
    return b"".join(out)


def _dump(value, out):
    if value is None:
        out.append(b"\xf6")
    elif value is True:
        out.append(b"\xf5")
    elif value is False:
        out.append(b"\xf4")
    elif isinstance(value, int):
        out.append(_head(0, value) if value >= 0 else _head(1, -1 - value))
    elif isinstance(value, float):
        out.append(b"\xfb" + struct.pack(">d", value))
    elif isinstance(value, str):
        raw = value.encode()
        out.append(_head(3, len(raw)))
        out.append(raw)
    elif isinstance(value, (list, tuple)):
        out.append(_head(4, len(value)))
        for item in value:
            _dump(item, out)
    elif isinstance(value, dict):
        out.append(_head(5, len(value)))
        for key, item in value.items():
            _dump(key, out)
            _dump(item, out)
    else:
        raise TypeError(type(value))


def loads(data):
    value, end = _load(data, 0)
    if end != len(data):
        raise ValueError("bytes after the value")
    return value


def _load(data, at):
    first = data[at]
    major, low = first >> 5, first & 31
    at += 1
    if major == 7:
        if low == 20:
            return False, at
        if low == 21:
            return True, at
        if low in (22, 23):
            return None, at
        if low == 25:
            return struct.unpack(">e", data[at:at + 2])[0], at + 2
        if low == 26:
            return struct.unpack(">f", data[at:at + 4])[0], at + 4
        if low == 27:
            return struct.unpack(">d", data[at:at + 8])[0], at + 8
        raise ValueError("unknown simple value")
    if low < 24:
        n = low
    elif low == 24:
        n, at = data[at], at + 1
    elif low == 25:
        n, at = struct.unpack(">H", data[at:at + 2])[0], at + 2
    elif low == 26:
        n, at = struct.unpack(">I", data[at:at + 4])[0], at + 4
    elif low == 27:
        n, at = struct.unpack(">Q", data[at:at + 8])[0], at + 8
    elif low == 31:
        n = None
    else:
        raise ValueError("unknown length")
    if major == 0:
        return n, at
    if major == 1:
        return -1 - n, at
    if major in (2, 3):
        if n is None:
            parts = []
            while data[at] != 0xFF:
                part, at = _load(data, at)
                parts.append(part)
            return ("" if major == 3 else b"").join(parts), at + 1
        raw = data[at:at + n]
        if len(raw) < n:
            raise ValueError("cut short")
        return (raw.decode() if major == 3 else bytes(raw)), at + n
    if major == 4:
        items = []
        while (n is None and data[at] != 0xFF) or (n is not None and len(items) < n):
            item, at = _load(data, at)
            items.append(item)
        return items, at + (n is None)
    if major == 5:
        entries, count = {}, 0
        while (n is None and data[at] != 0xFF) or (n is not None and count < n):
            key, at = _load(data, at)
            entries[key], at = _load(data, at)
            count += 1
        return entries, at + (n is None)
    return _load(data, at)  # a tag: its content
