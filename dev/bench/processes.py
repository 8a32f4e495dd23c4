"""Starts processes and ends them, each by its process id."""

import json
import os
import select
import signal
import subprocess
import time


class StartError(RuntimeError):
    """A process failed, or did not start or answer in time."""


class Processes:
    """Processes by key; close() ends all that still run."""

    def __init__(self, build, folder):
        self.build = build
        self.folder = folder
        self.running = {}
        os.makedirs(folder, exist_ok=True)

    def program(self, name):
        """Path of a built program; StartError if it is not built."""
        for path in (f"dev/{name}/{name}", f"dev/fakes/{name}",
                     f"apps/{name}/{name}"):
            path = os.path.join(self.build, path)
            if os.path.exists(path):
                return path
        raise StartError(f"program {name} is not built in {self.build}")

    def exists(self, name):
        """Whether a program is built."""
        try:
            return bool(self.program(name))
        except StartError:
            return False

    def file(self, name, content):
        """Writes a JSON file into the folder of the run; returns its path."""
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as output:
            json.dump(content, output)
        return path

    @staticmethod
    def read(path):
        """Reads a JSON file."""
        with open(path, encoding="utf-8") as content:
            return json.load(content)

    def start(self, key, program, *arguments):
        """Starts a process; standard error goes to a log file."""
        with open(os.path.join(self.folder, f"{key}.log"), "ab") as log:
            self.running[key] = subprocess.Popen(
                [self.program(program), *arguments], stderr=log,
                stdout=subprocess.PIPE, stdin=subprocess.DEVNULL)
        return self.running[key]

    def first_line(self, key, timeout=10.0):
        """First line of standard output: addresses or port of a fake."""
        output = self.running[key].stdout
        if not select.select([output], [], [], timeout)[0]:
            raise StartError(f"{key} printed nothing within {timeout} s")
        line = output.readline().decode()
        if not line:
            raise StartError(f"{key} exited: {self.log(key)[-500:]}")
        return line

    def log(self, key):
        """Standard error of a process so far."""
        path = os.path.join(self.folder, f"{key}.log")
        with open(path, encoding="utf-8", errors="replace") as log:
            return log.read()

    def run(self, key, program, *arguments, timeout=120.0):
        """Runs a program to its end; returns the JSON that it printed."""
        process = self.start(key, program, *arguments)
        try:
            output, _ = process.communicate(timeout=timeout)
        except subprocess.TimeoutExpired:
            process.kill()
            process.communicate()
            raise StartError(
                f"{key} did not exit within {timeout} s") from None
        finally:
            del self.running[key]
        if process.returncode != 0:
            raise StartError(f"{key} failed: {self.log(key)[-500:]}")
        return json.loads(output)

    def pid(self, key):
        """Process id of a running process."""
        return self.running[key].pid

    def stop(self, key, timeout=10.0):
        """Ends one process with SIGTERM, or SIGKILL after the timeout.

        Returns its exit status, negative if a signal ended it. SIGCONT comes
        first, because a paused process does not handle SIGTERM.
        """
        process = self.running.pop(key)
        process.stdout.close()
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        try:
            return process.wait(timeout)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def close(self):
        """Ends all processes; those that take over 10 s get SIGKILL."""
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        end = time.monotonic() + 10.0
        for key in list(self.running):
            self.stop(key, max(0.1, end - time.monotonic()))

    def usage(self, key):
        """CPU seconds and resident bytes of a process from /proc."""
        pid = self.pid(key)
        with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int(fields[21])
        return (ticks / os.sysconf("SC_CLK_TCK"),
                pages * os.sysconf("SC_PAGE_SIZE"))
