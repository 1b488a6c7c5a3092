@process
Feature: Host killed between commit and answer

  Scenario Outline: The caller retries elsewhere with the same key
    Given a fleet of 3 hosts
    And the targets hold what they start
    When an order through host-c with a key of <home> has started
    And host-c is killed
    And the targets go on
    And the caller retries the order at host-b with the same key
    Then the retry is answered with outcome unknown
    And the order ran once

    Examples:
      | home   |
      | host-c |
      | host-a |

  Scenario: Slots that a killed host held are used again
    Given a fleet of 3 hosts
    And the targets hold what they start
    When 6 lookups through host-c have started
    And host-c is killed
    And the targets go on
    Then host-a answers lookups within 6 s
