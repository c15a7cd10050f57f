"""Steps that edit the fleet document and check which revision instances apply."""

import threading
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from standins.clients import edit_document, read_document

SECTION = "kind report"
OPTION = "max_failures"
POLL_INTERVAL_S = 0.1
CONCURRENT_VALUES = range(10, 18)


def format_edit(value):
    """Return the text of the section with the option set to a value."""
    return f"[{SECTION}]\nteam = shop\n{OPTION} = {value}\n"


def read_value(address):
    """Return the option's value at an instance, or None if it can't be read."""
    document = read_document(address)
    if document is None:
        return None
    for section in document.sections:
        if section.name == SECTION:
            values = {option.name: option.value for option in section.options}
            return values.get(OPTION, "")
    return None


def find_section(address):
    """Return the section that an instance reports."""
    sections = read_document(address).sections
    return next(section for section in sections if section.name == SECTION)


class RevisionWatch:
    """Polls every instance and records the revisions that it reports."""

    def __init__(self, operators):
        self._operators = operators
        self._stopped = threading.Event()
        self.revisions = {name: [] for name in operators}
        self._threads = [
            threading.Thread(target=self._run, args=(name,)) for name in operators
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, name):
        while not self._stopped.wait(POLL_INTERVAL_S):
            document = read_document(self._operators[name])
            if document is not None:
                self.revisions[name].append(document.revision)

    def stop(self):
        """Stop polling."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()


@when('an edit through "{instance}" sets max_failures to {value:d}')
def edit(context, instance, value):
    context.revision_watch = RevisionWatch(context.deployment.operators)
    context.add_cleanup(context.revision_watch.stop)
    address = context.deployment.operators[instance]

    def accepted():
        reply = edit_document(address, format_edit(value), (find_section(address),))
        return reply is not None and reply.accepted

    context.deployment.wait_until(accepted, "the edit is accepted")


@then("every instance has max_failures at {value:d} within {seconds:d} s")
def check_in_force(context, value, seconds):
    deployment = context.deployment
    running = [
        deployment.operators[name]
        for name in deployment.operators
        if deployment.processes[name].poll() is None
    ]

    def in_force():
        return all(read_value(address) == str(value) for address in running)

    deployment.wait_until(in_force, f"max_failures is {value}", seconds)


@when("8 operators edit the same section at once through all instances")
def edit_concurrently(context):
    addresses = list(context.deployment.operators.values())
    expected = (find_section(addresses[0]),)

    def send(number, value):
        address = addresses[number % len(addresses)]
        return edit_document(address, format_edit(value), expected)

    with ThreadPoolExecutor(len(CONCURRENT_VALUES)) as pool:
        futures = [
            pool.submit(send, n, value) for n, value in enumerate(CONCURRENT_VALUES)
        ]
    context.replies = [future.result() for future in futures]


@then("exactly one of them was accepted")
def check_one_accepted(context):
    accepted = [
        value
        for value, reply in zip(CONCURRENT_VALUES, context.replies, strict=True)
        if reply is not None and reply.accepted
    ]
    assert len(accepted) == 1, context.replies
    context.accepted = accepted[0]
    rejected = [reply for reply in context.replies if reply and not reply.accepted]
    assert all(reply.conflicts for reply in rejected), rejected


@then("every instance has the accepted value within {seconds:d} s")
def check_accepted(context, seconds):
    check_in_force(context, context.accepted, seconds)


@then("no instance ever reverted to an earlier revision")
def check_forward_only(context):
    context.revision_watch.stop()
    for name, revisions in context.revision_watch.revisions.items():
        assert revisions == sorted(revisions), f"{name} reported {revisions}"
