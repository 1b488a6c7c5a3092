@process
Feature: Rates over the whole fleet

  Scenario: A workspace that floods every host gets its rate and burst
    Given a fleet of 3 hosts with rates of 10 per second
    When a workspace sends 8 times its rate for 6 s
    Then no window of time holds more executions than its rate and burst
