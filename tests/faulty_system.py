"""The program under a system that fails: `python -m tests.faulty_system CONTROL [WORDS]` starts it as `run`
does, with the wall clock and the socket calls between it and the system replaced.

CONTROL names a JSON file, read at the start and at each SIGUSR1; `Faults` tells what may stand in it. What
took effect is counted in CONTROL.done, a number for each kind, so that a test knows that it caused the fault.
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
def signal_held_back():
    """Let a SIGUSR1 that comes within take effect right after it. One that came before does so first. The
    program must have one thread only: the system gives the signal to any that does not hold it back.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGUSR1})
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGUSR1})


class Faults:
    """What fails now: `wall_step` seconds are added to the wall clock; `fail` maps a call of a socket (one of
    CALLS, or `socket` for its making) to [name of the error, how many more times]; `ports` limits connect_ex
    to these; `short` is the most bytes that one send or recv may move, 0 for no limit.
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

    def happens(self, call):
        """Fail this call, if it is to fail now."""
        with signal_held_back():  # else `read` would come between, and be undone by what is written after it
            name = self.use_up(call)
        if name:
            raise OSError(getattr(errno, name), os.strerror(getattr(errno, name)))

    def use_up(self, call):
        """Count one failure of this call; give the name of its error, or "" if it is not to fail now."""
        name, left = self.fail.get(call, ("", 0))
        if not left:
            return ""
        self.fail[call] = [name, left - 1]
        self.done[call] = self.done.get(call, 0) + 1
        self.report()
        return name

    def most(self, size):
        return min(size, self.short) if self.short else size


def replace_calls(faults):
    """Put the faults between the program and the system."""
    real = {name: getattr(socket.socket, name) for name in CALLS}
    make = socket.socket.__init__

    def made(self, *told, fileno=None, **named):
        if fileno is None:
            faults.happens("socket")
        make(self, *told, fileno=fileno, **named)

    def accept(self):
        faults.happens("accept")
        return real["accept"](self)

    def connect_ex(self, address):
        try:
            if not faults.ports or address[1] in faults.ports:
                faults.happens("connect_ex")
        except OSError as error:
            return error.errno
        return real["connect_ex"](self, address)

    def recv(self, size, *flags):
        faults.happens("recv")
        return real["recv"](self, faults.most(size), *flags)

    def send(self, data, *flags):
        faults.happens("send")
        return real["send"](self, bytes(data[: faults.most(len(data))]), *flags)

    socket.socket.__init__ = made
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
