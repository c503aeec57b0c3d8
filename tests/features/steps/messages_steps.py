"""Check the encoding and decoding of the statement protocol's messages."""

from typing import Any

from behave import then, when

LINE_END = b'\r\n'


@when('a caller at "{proxy}" sends {message} with a name of {size:d} bytes')
def send_long_name(context: Any, proxy: str, message: str, size: int) -> None:
    caller = context.platform.call(proxy)
    caller.open()
    if not message.startswith('START'):
        caller.send(b'START kigali tester\r\n')
        assert caller.read()[-1].startswith('READY')
    named = message.replace('name', 'x' * size)
    caller.send(f'{named}\r\n'.encode())
    context.answer = caller.read_until(LINE_END)


@then('each line of the answer is shorter than {size:d} bytes')
def check_short(context: Any, size: int) -> None:
    assert context.answer.startswith(b'ERROR'), context.answer[:100]
    assert len(context.answer) < size, len(context.answer)
