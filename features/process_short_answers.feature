@process
Feature: Targets that cut answers short

  Scenario: Lookups are repeated, orders are not
    Given a fleet of 3 hosts
    And target-0 cuts its answers in half by length
    And target-1 cuts its answers in half by chunked
    When 20 lookups are sent through host-a
    Then every lookup is answered in full
    When 20 orders are sent through host-b
    Then some order has the outcome unknown
    And no order ran twice and none was lost

  Scenario Outline: A streamed download that is cut short breaks
    Given a fleet of 3 hosts
    And every chart is cut in half by <framing>
    When a chart is downloaded through host-a
    Then the download breaks within 5 s

    Examples:
      | framing |
      | length  |
      | chunked |
