"""Measure how long customers take: a long document, and many operations."""

from time import process_time

from msgspec.json import encode

from benchmarks.figures import print_table
from sedgeshunt.customers.bucket import TokenBucket
from sedgeshunt.identifiers import Monotonic, Revision
from sedgeshunt.platform.documents import CONFIGURATION_KEY, StoreDocuments
from sedgeshunt.ports import KeyValue

CUSTOMERS = 10_000
TRIALS = 5
OPERATIONS = 200_000
MICROSECONDS = 1_000_000


def run() -> None:
    """Print what a document of many customers and a count take."""
    document = make_document(CUSTOMERS)
    reading = min(_measure_reading(document) for _ in range(TRIALS))
    counting = min(_measure_counting() for _ in range(TRIALS))
    rows = [
        (
            f'a document of {CUSTOMERS:,} customers, {len(document):,} bytes',
            f'{reading * 1000:.1f} ms',
        ),
        ('one operation counted', f'{counting * MICROSECONDS:.2f} us'),
    ]
    print_table('customers', ('what', 'processor time'), rows)


def make_document(customers: int) -> bytes:
    """Return an operator's document with so many customers."""
    tenants = [
        {
            'name': f'customer{number}',
            'api_keys': [f'key-of-{number}-{place}' for place in range(2)],
            'rate_per_s': 20,
            'burst': 20,
        }
        for number in range(customers)
    ]
    return encode(
        {'version': 1, 'routes': [], 'services': [], 'tenants': tenants},
    )


def _measure_reading(document: bytes) -> float:
    began = process_time()
    pair = KeyValue(CONFIGURATION_KEY, document, Revision(1))
    StoreDocuments().read_declared(pair)
    return process_time() - began


def _measure_counting() -> float:
    bucket = TokenBucket(20, 20, Monotonic(0))
    bucket.resize(20, 20, Monotonic(0))
    began = process_time()
    for number in range(OPERATIONS):
        bucket.take(1, Monotonic(number / 10))
    return (process_time() - began) / OPERATIONS
