"""Measure what the path through a proxy costs on loopback sockets."""

from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from time import sleep

from benchmarks.figures import print_progress, print_table, show_milliseconds
from benchmarks.load import LoadReport
from benchmarks.processes import Bench, Process

MANY = 32
IDLE = 2000
SETTLE = 3
READ = 'SELECT ref FROM turns WHERE id = 1'
WRITE = "INSERT INTO turns (ref) VALUES ('x')"


@dataclass(frozen=True, slots=True)
class Measured:
    """Hold a load's report and the CPU time that its server used."""

    report: LoadReport
    cpu: float
    # For how long the server was ready but other programs had the cores.
    queued: float

    @property
    def rate(self) -> float:
        """Return the statements answered in a second."""
        return self.report.statements / self.report.seconds

    @property
    def rate_per_core(self) -> float:
        """Return the statements for each second of CPU time."""
        return self.report.statements / max(self.cpu, 0.01)


def measure(
    bench: Bench,
    server: Process,
    port: int,
    sql: str,
    connections: int,
) -> Measured:
    """Load a port and read the CPU time of its server."""
    cpu = server.read_cpu()
    queued = server.read_queued()
    report = bench.load(port, sql, connections)
    return Measured(
        report,
        server.read_cpu() - cpu,
        server.read_queued() - queued,
    )


def measure_statements(bench: Bench) -> list[list[object]]:
    """Compare straight and through the proxy, in turn."""
    rows: list[list[object]] = []
    for name, sql in (('read', READ), ('write', WRITE)):
        for connections in (1, MANY):
            print_progress(f'path: {name}, connections {connections}')
            straight = measure(
                bench,
                bench.standins,
                bench.ports['db1'],
                sql,
                connections,
            )
            through = measure(
                bench,
                bench.proxy,
                bench.caller_port,
                sql,
                connections,
            )
            title = f'{name}, {connections} connections'
            rows.append([title, 'straight', *_describe(straight), ''])
            ratio = through.rate / max(straight.rate, 1)
            core_ratio = through.rate_per_core / straight.rate_per_core
            ratios = f'{ratio:.2f}, {core_ratio:.2f} per CPU second'
            rows.append([title, 'proxy', *_describe(through), ratios])
    return rows


def _describe(measured: Measured) -> list[object]:
    report = measured.report
    return [
        f'{measured.rate:.0f}',
        f'{measured.rate_per_core:.0f}',
        f'{measured.cpu / report.seconds:.0%}',
        f'{measured.queued / report.seconds:.0%}',
        show_milliseconds(report.p50),
        show_milliseconds(report.p99),
        report.failures,
    ]


def measure_memory(bench: Bench) -> float:
    """Return the memory of an idle caller in KB."""
    print_progress(f'path: {IDLE} idle callers')
    before = bench.proxy.read_memory()
    holder = bench.hold(bench.caller_port, IDLE)
    sleep(SETTLE)
    grown = bench.proxy.read_memory() - before
    holder.end()
    return grown / IDLE


def run() -> None:
    """Measure and print."""
    with ExitStack() as owned:
        folder = owned.enter_context(TemporaryDirectory())
        bench = Bench(Path(folder), owned)
        rows = measure_statements(bench)
        memory = measure_memory(bench)
    header = ['load', 'way', 'statements/s', 'per CPU second', 'CPU']
    header += ['without a core', 'p50', 'p99', 'failed', 'of straight']
    print_table('Path, latencies in ms', header, rows)
    print(f'memory of an idle caller: {memory:.1f} KB, with {IDLE} of them')


if __name__ == '__main__':
    run()
