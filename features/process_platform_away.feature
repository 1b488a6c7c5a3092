@process
Feature: Platform away

  Scenario Outline: A fresh host starts from its peers
    Given a fleet of 3 hosts
    And the platform is <mode>
    When host-c is killed
    And a fresh process starts as host-c
    Then host-a answers lookups within 2 s
    And host-c answers lookups within 15 s
    And every host has bundle version 1 within 1 s

    Examples:
      | mode   |
      | down   |
      | paused |
