Feature: every caller receives the whole answer to its own request

  Scenario Outline: <fault> answers
    Given a deployment
      | option  | value |
      | workers | 2     |
    And a load of 6 callers with plain requests on persistent connections
    When every runner of "porto" gets the faults <faults>
    And 2 s pass
    And every runner of "porto" gets the faults {}
    And 3 s pass
    And the load ends
    Then at least 20 requests were done
    And no caller was left without an answer

    Examples:
      | fault     | faults                            |
      | late      | {"late_answer_ms": 2500}          |
      | crossed   | {"crossed_answers": 8}            |
      | truncated | {"truncated_answers": 8}          |
      | cut-off   | {"cut": {"during_answer": 8}}     |
      | slow      | {"slow_ms": 300}                  |

  Scenario: two requests carry one id
    Given a deployment
    When two requests with the id "same" and different bodies are sent at once
    Then each caller got the answer to its own body or none
