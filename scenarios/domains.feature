Feature: each failure domain serves what it can when it is cut off

  Scenario Outline: a failure domain is cut off from <what>
    Given a deployment
      | option  | value      |
      | domains | porto faro |
      | links   | yes        |
    And every worker of "faro" is claimed
    And a load of 4 callers with plain requests
    When the job "j" of 24 tasks of 800 ms is accepted by "faro-e0"
    And at least 4 tasks have been started
    And <cuts>
    And 5 s pass
    And a plain request "alone" is sent to "faro-e0" 1 times
    Then the caller gets the outcome done
    When all links are up
    And the load ends
    Then the job "j" is finished within 18 s, each of its 24 tasks having finished on a worker

    Examples:
      | what      | cuts                                  |
      | its peers | the link "link-faro-porto" is silent  |
      | the store | the link "link-platform-faro" is silent |
      | both      | all links are silent                  |
