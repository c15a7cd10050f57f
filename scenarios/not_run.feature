Feature: a request that the system says was not run did not run

  Scenario Outline: the connection to the runner is cut <point>
    Given a deployment
      | option  | value |
      | workers | 2     |
    And a load of 4 callers with plain requests
    When every runner of "porto" gets the faults {"cut": {"<name>": 10}}
    And 5 s pass
    And the load ends
    Then at least 20 requests were done
    And at least 1 requests got the outcome unknown

    Examples:
      | point             | name         |
      | before the body   | before_body  |
      | during the body   | during_body  |
      | after the body    | after_body   |
      | before the answer | after_effect |

  Scenario: every runner is full
    Given a deployment
    And a load of 4 callers with plain requests
    When every runner of "porto" gets the faults {"full": true}
    And 2 s pass
    And every runner of "porto" gets the faults {}
    And 1 s pass
    And the load ends
    Then at least 1 requests got the outcome not-run
    And at least 20 requests were done

  Scenario: a runner is killed and started again under load
    Given a deployment
      | option  | value |
      | workers | 2     |
    And a load of 4 callers with plain requests
    When "porto-r0" is killed
    And 2 s pass
    And it is started again
    And 2 s pass
    And the load ends
    Then at least 50 requests were done

  Scenario: an instance is killed under load
    Given a deployment
      | option  | value |
      | workers | 2     |
    And a load of 4 callers with plain requests
    When 1 s pass
    And "porto-e1" is killed
    And 2 s pass
    And the load ends
    Then at least 50 requests were done
