@process
Feature: Configuration in force everywhere

  Scenario: Hosts cut off from the platform learn of a withdrawn key from peers
    Given a fleet of 3 hosts
    And the platform cannot be reached from host-b and host-c
    When the key of a workspace is withdrawn
    Then host-a refuses its lookups as key-unknown within 5 s
    And host-b refuses its lookups as key-unknown within 5 s
    And host-c refuses its lookups as key-unknown within 5 s
    And every host has bundle version 2 within 17 s
    And no refused lookup ran

  Scenario: A host that one peer cannot reach learns of a change from another
    Given a fleet of 3 hosts
    And the platform cannot be reached from host-b and host-c
    And host-a cannot send to host-c
    When the key of a workspace is withdrawn
    Then every host has bundle version 2 within 17 s
    And host-c refuses its lookups as key-unknown within 5 s

  Scenario: An older bundle at the platform reverts nothing
    Given a fleet of 3 hosts
    When the key of a workspace is withdrawn
    Then every host has bundle version 2 within 17 s
    When the platform serves the first bundle again
    And host-c is killed
    And a fresh process starts as host-c
    Then host-c refuses its lookups as key-unknown within 20 s
    And every host has bundle version 2 within 1 s

  Scenario: Two bundles with one version are reported and a higher one settles it
    Given a fleet of 3 hosts
    When a second bundle with version 1 is published
    Then a host reports a conflict within 10 s
    And host-a answers lookups within 5 s
    And every host has the first bundle
    When the key of a workspace is withdrawn
    Then every host has bundle version 2 within 17 s

  Scenario Outline: A bundle <fault> stays out
    Given a fleet of 3 hosts
    When a bundle <fault> is published
    Then a host refuses a bundle within 10 s
    And host-a answers lookups within 5 s
    And every host has the first bundle

    Examples:
      | fault                     |
      | signed with a foreign key |
      | with a corrupt chunk      |
