Feature: evicted work resumes exactly once

  Scenario: a worker leaves and its tasks resume elsewhere
    Given a deployment
      | option  | value |
      | workers | 3     |
    And every worker of "porto" is claimed
    When the job "j" of 7 tasks of 4000 ms is accepted by "porto-e0"
    And at least 7 tasks have been started
    And "the worker of j.0.0" leaves
    Then the job "j" is finished within 18 s, each of its 7 tasks having finished on a worker
    And at least 1 attempts were checkpointed and resumed

  Scenario: the owner is killed between checkpoint and record
    Given a deployment
      | option  | value |
      | workers | 3     |
    And every worker of "porto" is claimed
    When the job "j" of 7 tasks of 4000 ms is accepted by "porto-e0"
    And at least 7 tasks have been started
    And "tables" gets the faults {"slow_ms": 1500}
    And "the worker of j.0.0" leaves
    And at least 1 checkpoint is stored
    And "the owner of porto-w0" is killed
    And the faults of "tables" end
    Then the job "j" is finished within 18 s, each of its 7 tasks having finished on a worker
    And at least 1 attempts were checkpointed and resumed

  Scenario: the object store is down when a worker leaves
    Given a deployment
      | option  | value |
      | workers | 3     |
    And every worker of "porto" is claimed
    When the job "j" of 7 tasks of 4000 ms is accepted by "porto-e0"
    And at least 7 tasks have been started
    And "objects" gets the faults {"down": true}
    And "the worker of j.0.0" leaves
    And 2 s pass
    And the faults of "objects" end
    Then the job "j" is finished within 18 s, each of its 7 tasks having finished on a worker

  Scenario: tasks are evicted twice
    Given a deployment
      | option  | value |
      | workers | 3     |
    And every worker of "porto" is claimed
    When the job "j" of 6 tasks of 5000 ms is accepted by "porto-e0"
    And at least 6 tasks have been started
    And "the worker of j.0.0" leaves
    And task "j.0.0" has been resumed 1 times
    And "the worker of j.0.0" leaves
    Then the job "j" is finished within 18 s, each of its 6 tasks having finished on a worker
    And task "j.0.0" has been resumed 2 times
