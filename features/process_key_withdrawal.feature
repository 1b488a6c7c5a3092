@process
Feature: Withdrawal of a key

  Scenario: A connected caller loses its key
    Given a fleet of 3 hosts
    And a caller of every workspace is connected to host-a
    And a download through host-b that takes 30 s
    When the key of a workspace is withdrawn
    Then host-a refuses its lookups as key-unknown within 5 s
    And host-b refuses its lookups as key-unknown within 5 s
    And host-c refuses its lookups as key-unknown within 5 s
    And the download breaks within 2 s
    And host-a serves another workspace
    And no refused lookup ran
