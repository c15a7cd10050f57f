Feature: no task runs in two places at once, and none is lost

  Scenario: a worker can't be reached but runs on
    Given a deployment
      | option  | value |
      | workers | 3     |
    And every worker of "porto" is claimed
    When the job "j" of 9 tasks of 3000 ms is accepted by "porto-e0"
    And at least 9 tasks have been started
    And "porto-w0" gets the faults {"down": true}
    Then the job "j" is finished within 18 s, each of its 9 tasks having finished on a worker
    And at least 1 tasks needed a second attempt

  Scenario: a worker is killed and gone from the list
    Given a deployment
      | option  | value |
      | workers | 3     |
    And every worker of "porto" is claimed
    When the job "j" of 9 tasks of 2000 ms is accepted by "porto-e0"
    And at least 9 tasks have been started
    And "porto-w0" is killed
    And "porto-w0" is gone from the list
    Then the job "j" is finished within 18 s, each of its 9 tasks having finished on a worker

  Scenario: a worker is paused past its lease and resumed
    Given a deployment
      | option  | value |
      | workers | 3     |
    And every worker of "porto" is claimed
    When the job "j" of 9 tasks of 2000 ms is accepted by "porto-e0"
    And at least 9 tasks have been started
    And "porto-w0" is paused
    And 5 s pass
    And it is resumed
    Then the job "j" is finished within 15 s, each of its 9 tasks having finished on a worker

  Scenario: the store loses replies while a job is recorded and ends
    Given a deployment
      | option  | value |
      | workers | 2     |
    And every worker of "porto" is claimed
    When "tables" gets the faults {"cut": {"after_effect": 6}}
    And the job "j" of 12 tasks of 300 ms is accepted by "porto-e0"
    Then the job "j" is finished within 15 s, each of its 12 tasks having finished on a worker

  Scenario: the store is down while tasks end, and the owner is killed
    Given a deployment
      | option  | value |
      | workers | 2     |
    And every worker of "porto" is claimed
    When the job "j" of 12 tasks of 700 ms is accepted by "porto-e0"
    And at least 6 tasks have been started
    And "tables" gets the faults {"down": true}
    And "the owner of porto-w0" is killed
    And 4 s pass
    And the faults of "tables" end
    Then the job "j" is finished within 15 s, each of its 12 tasks having finished on a worker

  Scenario: a job is cancelled while its owner is killed
    Given a deployment
      | option  | value |
      | workers | 2     |
    And every worker of "porto" is claimed
    When the job "j" of 30 tasks of 800 ms is accepted by "porto-e0"
    And at least 4 tasks have been started
    And "the owner of porto-w0" is killed
    And the job "j" is cancelled through "porto-e1"
    Then the job "j" is cancelled within 15 s
    And every task that was started has ended within 10 s

  Scenario: two owners are killed, one after the other, and start again
    Given a deployment
      | option    | value |
      | instances | 3     |
      | workers   | 2     |
    And every worker of "porto" is claimed
    When the job "j" of 24 tasks of 700 ms is accepted by "porto-e0"
    And at least 4 tasks have been started
    And "the owner of porto-w0" is killed
    And it is started again
    And 2 s pass
    And "the owner of porto-w0" is killed
    And it is started again
    Then the job "j" is finished within 18 s, each of its 24 tasks having finished on a worker

  Scenario: a failure domain is split, and each half is killed in turn
    Given a deployment
      | option    | value |
      | instances | 2     |
      | workers   | 2     |
      | split     | yes   |
    And every worker of "porto" is claimed
    When the job "j" of 40 tasks of 1000 ms is accepted by "porto-e0"
    And at least 4 tasks have been started
    And all links are silent
    And 4 s pass
    And "porto-e0" is killed
    And 1 s pass
    And it is started again
    And 1 s pass
    And "porto-e1" is killed
    And it is started again
    And all links are up
    Then the job "j" is finished within 18 s, each of its 40 tasks having finished on a worker
