"""Runs the program with injected faults of the system: `python -m tests.faulty_system CONTROL [WORDS]`.

It starts the program as `run` does, with replaced wall clock and socket calls. CONTROL is a JSON file that is
read at the start and at each SIGUSR1; `Faults` describes its keys. The injected faults are counted by kind in
CONTROL.done, so that a test can verify that its fault occurred.
"""

import errno
import json
import os
import runpy
import signal
import socket
import sys
import time
from contextlib import contextmanager

REAL_TIME, REAL_TIME_NS = time.time, time.time_ns
CALLS = ("accept", "connect_ex", "recv", "send")


@contextmanager
def signal_blocked():
    """Block SIGUSR1 within the context; a signal that arrives meanwhile is handled right after it.

    A signal that arrived before is handled first. The program must have a single thread, because the kernel
    delivers the signal to any thread that does not block it.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGUSR1})
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGUSR1})


class Faults:
    """The faults that are injected now; the attributes below are keys of the control file.

    `wall_step`: seconds that are added to the wall clock. `fail`: maps a socket call (one of CALLS, or
    `socket` for the constructor) to [name of the error, number of further failures]. `ports`: limits failures
    of connect_ex to these ports. `short`: the maximum number of bytes of one send or recv; 0: no limit.
    """

    def __init__(self, control):
        self.control, self.done, self.applied = control, {}, 0
        self.wall_step, self.fail, self.ports, self.short = 0, {}, [], 0
        self.read()

    def read(self, *_):
        with open(self.control, encoding="utf-8") as file:
            vars(self).update(json.load(file))
        self.applied += 1
        self.report()

    def report(self):
        with open(self.control + ".new", "w", encoding="utf-8") as file:
            json.dump(self.done | {"applied": self.applied}, file)
        os.replace(self.control + ".new", self.control + ".done")

    def fail_call(self, call):
        """Raise an OSError if this call is to fail now."""
        with signal_blocked():  # otherwise `read` could run in between, and its faults would be overwritten
            name = self.take_error(call)
        if name:
            raise OSError(getattr(errno, name), os.strerror(getattr(errno, name)))

    def take_error(self, call):
        """Count one failure of this call and return the name of its error, or "" if it is not to fail now."""
        name, left = self.fail.get(call, ("", 0))
        if not left:
            return ""
        self.fail[call] = [name, left - 1]
        self.done[call] = self.done.get(call, 0) + 1
        self.report()
        return name

    def limited_size(self, size):
        return min(size, self.short) if self.short else size


def replace_calls(faults):
    """Replace the socket calls and the wall clock with versions that inject the faults."""
    real = {name: getattr(socket.socket, name) for name in CALLS}
    real_init = socket.socket.__init__

    def init(self, *args, fileno=None, **kwargs):
        if fileno is None:
            faults.fail_call("socket")
        real_init(self, *args, fileno=fileno, **kwargs)

    def accept(self):
        faults.fail_call("accept")
        return real["accept"](self)

    def connect_ex(self, address):
        try:
            if not faults.ports or address[1] in faults.ports:
                faults.fail_call("connect_ex")
        except OSError as error:
            return error.errno
        return real["connect_ex"](self, address)

    def recv(self, size, *flags):
        faults.fail_call("recv")
        return real["recv"](self, faults.limited_size(size), *flags)

    def send(self, data, *flags):
        faults.fail_call("send")
        return real["send"](self, bytes(data[: faults.limited_size(len(data))]), *flags)

    socket.socket.__init__ = init
    for call in (accept, connect_ex, recv, send):
        setattr(socket.socket, call.__name__, call)
    time.time = lambda: REAL_TIME() + faults.wall_step
    time.time_ns = lambda: REAL_TIME_NS() + int(faults.wall_step * 1e9)


def main():
    faults = Faults(sys.argv[1])
    signal.signal(signal.SIGUSR1, faults.read)
    replace_calls(faults)
    sys.argv = ["limepath", *sys.argv[2:]]
    runpy.run_module("limepath", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
