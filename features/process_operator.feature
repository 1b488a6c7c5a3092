@process
Feature: Operating a fleet

  Scenario: Status, resolve and metrics of a running host
    Given a fleet of 3 hosts
    Then the status command shows host-a ready with a lease in 5 s
    And the status command is refused without a token
    And the resolve command names 3 hosts and never a key
    And the metrics of host-a name no workspace

  Scenario: A drain request ends a host gracefully
    Given a fleet of 3 hosts
    And load from 8 workspaces
    When host-b is told to drain
    Then host-b exits with status 0 within 15 s
    When the load ends
    Then no order ran twice and none was lost

  Scenario: A caller that leaves a download frees the slot
    Given a fleet of 3 hosts
    And a download through host-b that takes 30 s
    When the caller of the download goes away
    Then no target runs a request within 3 s

  Scenario: A key that callers send in other places stays off the targets
    Given a fleet of 3 hosts
    When lookups carry their key in query, cookie, header and basic form
    Then no target has seen a key
