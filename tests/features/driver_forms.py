"""Use each driver in its own way, behind one form."""

from abc import ABC, abstractmethod
from typing import Any

import mysql.connector
from asyncmy import connect as connect_asyncmy
from asyncmy.errors import MySQLError
from mysql.connector.errors import Error as ConnectorError
from pymysql import connect as connect_pymysql
from pymysql.err import MySQLError as PyMySQLError

from tests.features.driver_bench import LOOPBACK, LoopThread

TIMEOUT = 5


class DriverFailed(Exception):
    """Hold the number and the message of a driver's error."""

    def __init__(self, code: int, text: str) -> None:
        """Keep both."""
        super().__init__(code, text)
        self.code = code
        self.text = text


class Driver(ABC):
    """Run statements over one connection of a driver."""

    failures: type[Exception]
    cursor: Any

    def run(self, sql: str, **attributes: object) -> Any:
        """Run a statement; return rows, or the count and the id."""
        try:
            return self.execute(sql, attributes)
        except self.failures as failure:
            raise DriverFailed(*failure.args[:2]) from failure

    @abstractmethod
    def execute(self, sql: str, attributes: dict[str, object]) -> Any:
        """Run a statement as the driver does it."""

    @abstractmethod
    def is_in_transaction(self) -> bool:
        """Tell what the driver knows from the flags of the last answer."""

    @abstractmethod
    def close(self) -> None:
        """Drop the connection."""


class BlockingDriver(Driver):
    """Share what the two blocking drivers have in common."""

    connection: Any

    def execute(self, sql: str, attributes: dict[str, object]) -> Any:
        """Run a statement and read all of its answer."""
        for name, text in attributes.items():
            self.cursor.add_attribute(name, text)
        self.cursor.execute(sql)
        if self.cursor.description:
            return self.cursor.fetchall()
        return self.cursor.rowcount, self.cursor.lastrowid

    def close(self) -> None:
        """Drop the connection."""
        self.connection.close()


class PyMySQLDriver(BlockingDriver):
    """Use PyMySQL."""

    failures = PyMySQLError

    def __init__(self, port: int, group: str, loop: LoopThread) -> None:
        """Connect."""
        self.connection = connect_pymysql(
            host=LOOPBACK,
            port=port,
            user='singer',
            database=group,
            autocommit=True,
            ssl_disabled=True,
            read_timeout=TIMEOUT,
        )
        self.cursor = self.connection.cursor()

    def is_in_transaction(self) -> bool:
        """Tell what the flags say."""
        return bool(self.connection.server_status & 1)


class ConnectorDriver(BlockingDriver):
    """Use mysql-connector-python."""

    failures = ConnectorError

    def __init__(self, port: int, group: str, loop: LoopThread) -> None:
        """Connect."""
        self.connection = mysql.connector.connect(
            host=LOOPBACK,
            port=port,
            user='singer',
            database=group,
            autocommit=True,
            ssl_disabled=True,
            connection_timeout=TIMEOUT,
        )
        self.cursor = self.connection.cursor()

    def run(self, sql: str, **attributes: object) -> Any:
        """Run a statement; the driver's errors name their parts."""
        try:
            return self.execute(sql, attributes)
        except ConnectorError as failure:
            raise DriverFailed(failure.errno, str(failure.msg)) from failure

    def is_in_transaction(self) -> bool:
        """Tell what the flags say."""
        return bool(self.connection.in_transaction)


class AsyncmyDriver(Driver):
    """Use asyncmy in the thread of a loop."""

    failures = MySQLError

    def __init__(self, port: int, group: str, loop: LoopThread) -> None:
        """Connect."""
        self._loop = loop
        self._connection = loop.run(self._connect(port, group))

    def execute(self, sql: str, attributes: dict[str, object]) -> Any:
        """Run a statement and read all of its answer."""
        return self._loop.run(self._execute(sql))

    def is_in_transaction(self) -> bool:
        """Tell what the flags say."""
        return bool(self._connection.get_transaction_status())

    def close(self) -> None:
        """Drop the connection."""
        self._loop.run(self._close())

    async def _connect(self, port: int, group: str) -> Any:
        return await connect_asyncmy(
            host=LOOPBACK,
            port=port,
            user='singer',
            database=group,
            autocommit=True,
        )

    async def _execute(self, sql: str) -> Any:
        cursor = self._connection.cursor()
        await cursor.execute(sql)
        if cursor.description:
            return await cursor.fetchall()
        return cursor.rowcount, cursor.lastrowid

    async def _close(self) -> None:
        self._connection.close()


DRIVERS: dict[str, type[Any]] = {
    'asyncmy': AsyncmyDriver,
    'PyMySQL': PyMySQLDriver,
    'mysql-connector-python': ConnectorDriver,
}


def expect_failure(driver: Driver, sql: str) -> DriverFailed:
    """Return the error of a statement that has to fail."""
    try:
        outcome = driver.run(sql)
    except DriverFailed as failure:
        return failure
    raise AssertionError(f'{sql} was answered with {outcome}')
