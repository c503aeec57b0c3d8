"""Compress documents that are long, as they go to many peers at once."""

from zlib import compress, decompressobj

# Below, a document fits into one packet with what goes beside it.
SHORTEST_PACKED = 1024


def pack(document: bytes | None) -> tuple[bytes | None, bool]:
    """Return a document as it is sent, and whether it is compressed."""
    if document is None or len(document) < SHORTEST_PACKED:
        return document, False
    return compress(document), True


def unpack(
    sent: bytes | None, *, is_packed: bool, longest: int
) -> bytes | None:
    """Return the document; raise zlib.error or ValueError."""
    if sent is None or not is_packed:
        return sent
    packed = decompressobj()
    document = packed.decompress(sent, longest)
    # A few bytes can name any length; memory is for what may come.
    if packed.unconsumed_tail or not packed.eof:
        raise ValueError(f'a document is longer than {longest} bytes')
    return document
