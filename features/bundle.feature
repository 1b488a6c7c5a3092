Feature: Bundles from source to acceptance

  Background:
    Given an empty directory
    And a bundle source "bundle.yaml" with version 7
    And a key pair in "operator.key"

  Scenario: A built and signed bundle is what hosts accept
    When I run "bundle build bundle.yaml --output build-7"
    And I run "bundle sign build-7 --secret operator.key"
    And I run "bundle verify build-7 --trusted PUBLIC --json"
    Then the exit status is 0
    And the JSON output has "outcome" "valid"
    And a host that trusts the key accepts "build-7" as version 7

  Scenario: An unsigned build is refused
    When I run "bundle build bundle.yaml --output build-7"
    And I run "bundle verify build-7 --trusted PUBLIC"
    Then the exit status is 1
    And standard error mentions "not trusted"

  Scenario: An altered chunk is refused
    When I run "bundle build bundle.yaml --output build-7"
    And I run "bundle sign build-7 --secret operator.key"
    And a byte of a chunk of "build-7" changes
    And I run "bundle verify build-7 --trusted PUBLIC"
    Then the exit status is 1
    And standard error mentions "other content"
    When I run "bundle sign build-7 --secret operator.key"
    Then the exit status is 1

  Scenario: All findings of a source come with their lines
    Given "bundle.yaml" has a route to service "absent" and a negative rate
    When I run "check --bundle bundle.yaml"
    Then the exit status is 1
    And standard error mentions "bundle.yaml:3: $.workspaces[0].rate"
    When I run "bundle build bundle.yaml --output build-7"
    Then the exit status is 1
    And there is no "build-7"

  Scenario: Findings can be read by a program
    Given "bundle.yaml" has a route to service "absent"
    When I run "check --bundle bundle.yaml --json"
    Then the exit status is 1
    And the JSON output has a finding at "$.routes[0].service" in line 7

  Scenario: A file that cannot be read is not a finding
    When I run "check --settings absent.yaml"
    Then the exit status is 2
    And standard error mentions "absent.yaml cannot be read"

  Scenario: A diff names the workspace that changed
    Given a bundle source "next.yaml" with version 8
    And "next.yaml" gives workspace "mill" the rate 9
    When I run "bundle build bundle.yaml --output build-7"
    And I run "bundle diff build-7 next.yaml"
    Then the exit status is 1
    And standard output mentions "changed workspaces mill"
    And standard output mentions "rate: 5.0 -> 9.0"
    When I run "bundle diff build-7 bundle.yaml"
    Then the exit status is 0

  Scenario: A build on a parent must have a higher version
    When I run "bundle build bundle.yaml --output build-7"
    And I run "bundle build bundle.yaml --output again --parent build-7"
    Then the exit status is 1
    And standard error mentions "must be above 7"

  Scenario: Secret keys are private and never overwritten
    Then only the owner can read "operator.key"
    When I run "bundle keygen operator.key"
    Then the exit status is 2
    And standard error mentions "operator.key"

  Scenario: A rolled out change replaces the accepted bundle whole
    Given a bundle source "next.yaml" with version 8
    And "next.yaml" gives workspace "mill" the rate 9
    When I publish "bundle.yaml" as "build-7"
    And I publish "next.yaml" as "build-8"
    And a host accepts "build-7"
    And the host receives "build-8" without its last chunk
    Then the host holds version 7 with rate 5 for "mill"
    When the host receives "build-8"
    Then the host holds version 8 with rate 9 for "mill"
    When the host receives "build-7"
    Then the host holds version 8 with rate 9 for "mill"

  Scenario: Two bundles of one version are reported
    Given a bundle source "other.yaml" with version 7
    And "other.yaml" gives workspace "mill" the rate 9
    When I publish "bundle.yaml" as "build-7"
    And I publish "other.yaml" as "other-7"
    And a host accepts "build-7"
    And the host receives "other-7"
    Then the host holds version 7 with rate 5 for "mill"
    And the host reports a conflict about version 7
