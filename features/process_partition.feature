@process
Feature: Partition of the fleet

  Scenario: The half without a majority refuses and the other half serves
    Given a fleet of 4 hosts
    When host-c and host-d are cut off from the other hosts
    Then host-c refuses lookups as no-lease within 5 s
    And host-d refuses lookups as no-lease within 5 s
    And host-a answers lookups within 5 s
    And host-b answers lookups within 5 s
    And no refused lookup ran
    When the hosts are connected again
    Then host-c answers lookups within 10 s
    And host-d answers lookups within 10 s

  Scenario: A host that sends but hears nothing loses its lease
    Given a fleet of 3 hosts
    When host-c hears nothing from the other hosts
    Then host-c refuses lookups as no-lease within 5 s
    And host-a answers lookups within 2 s
    And no refused lookup ran
    When the hosts are connected again
    Then host-c answers lookups within 10 s
