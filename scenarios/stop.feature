Feature: a planned stop cuts off nothing

  Scenario: an instance stops under load
    Given a deployment
      | option  | value |
      | workers | 2     |
    And a load of 6 callers with plain requests on persistent connections
    When 1 s pass
    And "porto-e0" is asked to stop
    Then it exits with status 0 within 10 s
    When 1 s pass
    And the load ends
    Then at least 50 requests were done
    And no caller was left without an answer
    And every request that was not done got the outcome not-run or was never sent

  Scenario: two instances stop at once under load, and tasks go on
    Given a deployment
      | option    | value |
      | instances | 3     |
      | workers   | 2     |
    And every worker of "porto" is claimed
    And a load of 6 callers with plain requests
    When the job "j" of 20 tasks of 500 ms is accepted by "porto-e2"
    And at least 4 tasks have been started
    And "porto-e0" is asked to stop
    And "porto-e1" is asked to stop
    Then "porto-e0" exits with status 0 within 10 s
    And "porto-e1" exits with status 0 within 10 s
    When 1 s pass
    And the load ends
    Then no caller was left without an answer
    And every request that was not done got the outcome not-run or was never sent
    And the job "j" is finished within 15 s, each of its 20 tasks having finished on a worker

  Scenario: the owner stops and hands over without a pause in the work
    Given a deployment
      | option  | value |
      | workers | 2     |
    And every worker of "porto" is claimed
    When the job "j" of 20 tasks of 500 ms is accepted by "porto-e0"
    And at least 4 tasks have been started
    And "the owner of porto-w0" is asked to stop
    Then it exits with status 0 within 10 s
    And the job "j" is finished within 15 s, each of its 20 tasks having finished on a worker
    And no attempt was stopped or lost

  Scenario: an instance stops while the store is down
    Given a deployment
      | option  | value |
      | workers | 2     |
    And a load of 4 callers with plain requests
    When "tables" gets the faults {"down": true}
    And 1 s pass
    And "porto-e0" is asked to stop
    Then it exits with status 0 within 15 s
    When the load ends
    Then no caller was left without an answer
    And every request that was not done got the outcome not-run or was never sent

  Scenario: an instance that was replaced serves as soon as it is ready
    Given a deployment
    When "porto-e1" is asked to stop
    Then it exits with status 0 within 10 s
    When it is started again
    And it is ready
    And a plain request "first" is sent to "porto-e1" 1 times
    Then the caller gets the outcome done
