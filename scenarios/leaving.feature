Feature: a leaving upstream gets no new work after 3 s

  The timers have the default values of the daemon.

  Scenario: runner and worker leave, by the list
    Given a deployment
      | option        | value |
      | workers       | 2     |
      | heartbeat_ms  | 1000  |
      | list_poll_ms  | 2000  |
      | exchange_ms   | 5000  |
      | lease_ms      | 15000 |
    And every worker of "porto" is claimed
    And a load of 4 callers with plain requests
    When the job "j" of 60 tasks of 300 ms is accepted by "porto-e0"
    And "porto-r0" is listed as leaving
    And "porto-w0" is listed as leaving
    And 6 s pass
    And the load ends
    Then at least 50 requests were done
    And at least 10 tasks finished on workers that did not leave

  Scenario: runner and worker say that they leave while the list lags by 10 s
    Given a deployment
      | option        | value |
      | workers       | 2     |
      | heartbeat_ms  | 1000  |
      | list_poll_ms  | 2000  |
      | exchange_ms   | 5000  |
      | lease_ms      | 15000 |
    And every worker of "porto" is claimed
    And a load of 4 callers with plain requests
    When "listing" gets the faults {"lag_ms": 10000}
    And the job "j" of 60 tasks of 300 ms is accepted by "porto-e0"
    And "porto-r0" leaves
    And "porto-w0" leaves
    And 6 s pass
    And the load ends
    Then at least 50 requests were done
    And at least 10 tasks finished on workers that did not leave

  Scenario: a worker leaves during a flood while the list can't be read
    Given a deployment
      | option        | value |
      | workers       | 2     |
      | heartbeat_ms  | 1000  |
      | list_poll_ms  | 2000  |
      | exchange_ms   | 5000  |
      | lease_ms      | 15000 |
    And every worker of "porto" is claimed
    And a load of 16 callers with plain requests
    When "listing" gets the faults {"down": true}
    And the job "j" of 60 tasks of 300 ms is accepted by "porto-e0"
    And "porto-w0" announces that it leaves
    And "porto-r0" announces that it leaves
    And 6 s pass
    And the load ends
    Then at least 50 requests were done
    And at least 10 tasks finished on workers that did not leave
