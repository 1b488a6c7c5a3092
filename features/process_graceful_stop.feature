@process
Feature: Graceful stop of a host

  Scenario: A host that is stopped under load cuts nothing
    Given a fleet of 3 hosts
    And load from 8 workspaces
    And a download through host-b that takes 4 s
    When host-b gets SIGTERM
    Then host-b exits with status 0 within 15 s
    And the download is complete
    When the load ends
    Then no request at host-b was cut
    And no order ran twice and none was lost
    And no target received a key

  Scenario: A host that is stopped ends although callers keep coming
    Given a fleet of 3 hosts
    And callers that always have downloads through host-b on their way
    When host-b gets SIGTERM
    Then host-b exits with status 0 within 8 s
    And no download that had begun was cut

  Scenario: A caller that still holds the answer is served until it expires
    Given a fleet of 3 hosts
    When host-b gets SIGTERM
    Then host-b answers every lookup for 1.4 s
    And host-b exits with status 0 within 15 s
