@process
Feature: Paused host

  Scenario: A host that wakes does not honour a key withdrawn meanwhile
    Given a fleet of 3 hosts
    And a caller of every workspace is connected to host-b
    When host-b is paused while the key of a workspace is withdrawn
    And host-b wakes with 20 requests with that key waiting
    Then none of them ran
    And host-b answers lookups within 10 s
    And every host has bundle version 2 within 5 s
