"""Processes of stand-ins and their faults, for tests and examples."""

import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import msgspec

from standins._journal import read_journal
from standins._ports import LOOPBACK, PortBlocks
from standins._server import Faults

__all__ = [
    "ManagedProcess",
    "StandinProcess",
    "find_free_address",
    "post_control",
    "read_control",
]

READY_LINE = b"ready\n"
STOP_TIMEOUT_S = 15.0
CONTROL_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.02
_PORTS = PortBlocks()


def find_free_address():
    """Return a loopback address whose port no other test run picks."""
    return f"{LOOPBACK}:{_PORTS.pick()}"


def post_control(address, path, message):
    """Post a message to a control port and return the answer's body."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=msgspec.json.encode(message),
        headers={"Content-Type": "application/json"},
        method="POST",
    )
    with urllib.request.urlopen(request, timeout=CONTROL_TIMEOUT_S) as answer:
        return answer.read()


def read_control(address, path, message_type):
    """Read a message from a control port."""
    url = f"http://{address}{path}"
    with urllib.request.urlopen(url, timeout=CONTROL_TIMEOUT_S) as answer:
        return msgspec.json.decode(answer.read(), type=message_type)


class ManagedProcess:
    """One child process that can be killed, paused, resumed and terminated.

    Parameters
    ----------
    name : str
        Name of the process.
    command : list of str
        Program and arguments.
    output : Path
        File that receives standard output and error.
    """

    def __init__(self, name, command, output):
        self.name = name
        self.output = Path(output)
        self._command = command
        self._process = None
        self._output_start = 0

    def start(self):
        """Start the process, also again after it has exited."""
        with self.output.open("ab") as output:
            self._output_start = output.tell()
            self._process = subprocess.Popen(
                self._command, stdout=output, stderr=subprocess.STDOUT
            )

    @property
    def pid(self):
        """Process id."""
        return self._process.pid

    def poll(self):
        """Return the exit status, or None while the process runs."""
        return self._process.poll()

    def is_ready(self):
        """Return whether the process has printed that it is ready."""
        return READY_LINE in self.output.read_bytes()[self._output_start :]

    def send_signal(self, number):
        """Send a signal; no effect once the process has exited."""
        self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its exit."""
        self._process.kill()
        self._process.wait()

    def pause(self):
        """Suspend the process until it is resumed."""
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        """Resume a paused process."""
        self.send_signal(signal.SIGCONT)

    def ask_to_stop(self):
        """Request a graceful stop without waiting for it."""
        self.resume()
        self._process.terminate()

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for the process to exit; return its exit status."""
        return self._process.wait(timeout_s)

    def terminate(self, timeout_s=STOP_TIMEOUT_S):
        """Stop the process gracefully; return its exit status."""
        self.ask_to_stop()
        return self.wait(timeout_s)

    def clean_up(self):
        """Stop the process; kill it if it doesn't exit within the time limit."""
        try:
            self.terminate()
        except subprocess.TimeoutExpired:
            self.kill()

    def read_output(self):
        """Return all output of the process."""
        return self.output.read_text(errors="replace")


class StandinProcess(ManagedProcess):
    """A stand-in process with its addresses and its journal.

    Parameters
    ----------
    module : str
        Name of the stand-in, such as ``tables``.
    folder : Path
        Folder of the journal and the output file.
    name : str, optional
        Name of this process; by default the name of the module.
    arguments : dict of str to str, optional
        Further arguments, by name.
    """

    def __init__(self, module, folder, name="", **arguments):
        name = name or module
        self.address = find_free_address()
        self.control = find_free_address()
        self.journal = Path(folder) / f"{name}.journal"
        command = [sys.executable, "-m", f"standins.{module}"]
        command += ["--listen", self.address, "--control", self.control]
        command += ["--journal", str(self.journal)]
        for key, value in arguments.items():
            command += format_argument(key, value)
        super().__init__(name, command, Path(folder) / f"{name}.log")

    @property
    def base_url(self):
        """URL of the service."""
        return f"http://{self.address}"

    def wait_ready(self, timeout_s=STOP_TIMEOUT_S):
        """Wait until the stand-in listens."""
        deadline_s = time.monotonic() + timeout_s
        while not self.is_ready():
            if self.poll() is not None or time.monotonic() > deadline_s:
                raise RuntimeError(f"{self.name} is not ready: {self.read_output()}")
            time.sleep(POLL_INTERVAL_S)

    def set_faults(self, **faults):
        """Replace the faults in force."""
        post_control(self.control, "/control/faults", Faults(**faults))

    def read_journal(self):
        """Return the entries of the journal so far."""
        return read_journal(self.journal) if self.journal.exists() else []


def format_argument(key, value):
    """Format one command-line argument, repeated for each item of a tuple."""
    flag = "--" + key.replace("_", "-")
    values = value if isinstance(value, tuple) else (value,)
    return [part for item in values for part in (flag, str(item))]
