@process
Feature: Leaving target

  Scenario: A target that is listed as leaving gets no new work
    Given a fleet of 3 hosts
    And load from 8 workspaces
    When target-1 is listed as leaving
    Then target-1 receives nothing more after 5 s
    When the load ends
    Then no order ran twice and none was lost

  @known_red
  Scenario: A target that announces draining gets no new work
    Given a fleet of 3 hosts
    And load from 8 workspaces
    When target-1 announces that it drains
    Then target-1 receives nothing more after 5 s
    When the load ends
    Then no order ran twice and none was lost

  Scenario: A target that goes on draining gets no new work
    Given a fleet of 3 hosts
    And load from 8 workspaces
    When target-1 announces that it drains
    Then target-1 receives nothing more after 5 s
    And target-1 receives nothing for 12 s more
    When the load ends
    Then no order ran twice and none was lost
