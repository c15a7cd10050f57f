Feature: broken workers, bad jobs and disturbed services are told apart

  Scenario: a worker that fails all it starts takes at most five starts
    Given a deployment
      | option  | value |
      | workers | 4     |
    And every worker of "porto" is claimed
    When "porto-w0" gets the faults {"fail_starts": true}
    And the job "count" of 80 tasks of 300 ms is accepted by "porto-e0"
    Then the job "count" is finished within 40 s
    And at most 5 attempts were started at "porto-w0"

  Scenario: a job that fails everywhere is stopped and the workers go on
    Given a deployment
      | option  | value |
      | workers | 4     |
    And every worker of "porto" is claimed
    When the job "bad" of 20 tasks of 200 ms with payload {"fail": true} is accepted by "porto-e0"
    And 5 s pass
    And the job "good" of 40 tasks of 200 ms is accepted by "porto-e1"
    Then the job "good" is finished within 30 s
    And every worker of "porto" finished tasks of "good"

  Scenario: batch work gives way where it seems to slow a service that needs its slots
    Given a deployment
      | option     | value |
      | workers    | 4     |
      | slots      | 2     |
      | service_ms | 20    |
    And every worker of "porto" is claimed
    And a load of 12 callers with idempotent requests on persistent connections
    When the job "tune" of 24 tasks of 200000 ms is accepted by "porto-e0"
    And 12 s pass
    And "porto-r0" gets the faults {"slow_ms": 60}
    And 40 s pass
    And the load ends
    Then an attempt at "porto-w0" was checkpointed, and none at another worker

  Scenario: an urgent job starts where batch work holds all the room
    Given a deployment
      | option  | value |
      | workers | 2     |
    And every worker of "porto" is claimed
    When the job "tune" of 20 tasks of 200000 ms is accepted by "porto-e0"
    And 5 s pass
    And the urgent job "match" of 1 tasks of 200 ms is accepted by "porto-e1"
    Then the job "match" is finished within 9 s
