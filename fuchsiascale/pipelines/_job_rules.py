"""Checks of a job against the fleet document."""

from fuchsiascale.platform import Resources

__all__ = ["find_fleet_problem"]


def find_fleet_problem(spec, fleet):
    """Return why a job can never run under a fleet document, or an empty string.

    Parameters
    ----------
    spec : JobSpec
        The job.
    fleet : Fleet
        The document in force.

    Returns
    -------
    str
        What is unknown or too large.

    Examples
    --------
    >>> from fuchsiascale.coordination import Fleet, JobSpec
    >>> find_fleet_problem(JobSpec(job="j", team="hub", kind="review"), Fleet())
    'team: there is no [team hub]'
    """
    if spec.team not in fleet.teams:
        return f"team: there is no [team {spec.team}]"
    if spec.kind not in fleet.kinds:
        return f"kind: there is no [kind {spec.kind}]"
    domain = spec.failure_domain
    if domain and fleet.domains and domain not in fleet.domains:
        return f"failure_domain: there is no [domain {domain}]"
    quota = fleet.teams[spec.team].quota
    if quota is not None and not spec.demand.fits(quota):
        return f"demand: one task is over the quota of team {spec.team}"
    sizes = _list_sizes(fleet, domain)
    if sizes and not any(spec.demand.fits(size) for size in sizes):
        where = f" in {domain}" if domain else ""
        return f"demand: no declared instance{where} could ever hold one task"
    return ""


def _list_sizes(fleet, domain):
    return {
        instance.capacity
        for instance in fleet.instances.values()
        if instance.capacity != Resources()
        and (not domain or instance.failure_domain in ("", domain))
    }
