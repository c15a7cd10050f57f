"""Hooks for behave that check and stop the deployment of each scenario at its end."""

import random
import traceback

from standins.checker import check_all

SEED = 20_260


def before_scenario(context, scenario):
    context.deployment = None
    context.callers = None
    context.load = None
    context.random = random.Random(SEED)
    context.entries = None


def after_step(context, step):
    if step.exception is not None:
        traceback.print_exception(step.exception)


def after_scenario(context, scenario):
    if context.load is not None:
        context.load.stop()
    if context.deployment is None:
        return
    try:
        violations = check_all(context.deployment.read_journals())
        if scenario.status != "passed" or violations:
            print_outputs(context.deployment)
    finally:
        context.deployment.stop()
    if violations:
        raise AssertionError(
            "\n".join(f"{each.rule}: {each.detail}" for each in violations)
        )


def print_outputs(deployment):
    """Print the end of each daemon's output, to explain a failure."""
    for instance in deployment.callers:
        tail = deployment.log(instance).read_text(errors="replace")[-2_000:]
        print(f"--- {instance}\n{tail}")
