Feature: an accepted configuration is in force everywhere within 7 s and never reverts

  Scenario: an edit reaches every instance
    Given a deployment
      | option  | value      |
      | domains | porto faro |
    When an edit through "porto-e0" sets max_failures to 7
    Then every instance has max_failures at 7 within 7 s

  Scenario: racing operators
    Given a deployment
      | option  | value      |
      | domains | porto faro |
    When 8 operators edit the same section at once through all instances
    Then exactly one of them was accepted
    And every instance has the accepted value within 7 s

  Scenario: the store goes down right after an edit was accepted
    Given a deployment
      | option  | value      |
      | domains | porto faro |
    When an edit through "porto-e0" sets max_failures to 7
    And "tables" gets the faults {"down": true}
    Then every instance has max_failures at 7 within 7 s

  Scenario: an instance starts from nothing during an outage of the store
    Given a deployment
      | option    | value |
      | instances | 3     |
    When an edit through "porto-e0" sets max_failures to 7
    And "porto-e2" is killed
    And "tables" gets the faults {"down": true}
    And it is started again
    Then every instance has max_failures at 7 within 10 s

  Scenario: a failure domain is cut off from all, then joined
    Given a deployment
      | option  | value      |
      | domains | porto faro |
      | links   | yes        |
    When the link "link-faro-porto" is silent
    And the link "link-platform-faro" is silent
    And an edit through "porto-e0" sets max_failures to 7
    And 3 s pass
    And the link "link-faro-porto" is up
    And the link "link-platform-faro" is up
    Then every instance has max_failures at 7 within 7 s
    And no instance ever reverted to an earlier revision
