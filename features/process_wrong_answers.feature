@process
Feature: Answers that belong to other requests

  Scenario: A caller gets the answer to its own request
    Given a fleet of 3 hosts whose targets repeat the request id
    And target-0 sends each answer to the next request
    And target-1 sends bytes that nobody asked for
    When 40 lookups are sent through host-a
    Then every lookup is answered in full
    And target-0 and target-1 had work
