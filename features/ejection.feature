Feature: Ejection of targets with gray failures

  Recorded attempts at 6 targets on 48 hosts in 3 zones are replayed against
  the health policy of a broker. The fault starts at 2 seconds and concerns
  target t1; 0.3% of all answers are cut short without a fault. The traces are
  written by `python -m bench.experiments record --seed 7`.

  Scenario Outline: A faulty target is ejected and no other
    Given the recorded trace "<trace>"
    When it is replayed with the policy of "pattern-store"
    Then the target is ejected within <seconds> s
    And at most <met> requests meet the fault
    And no other target is ejected

    Examples:
      | trace       | seconds | met |
      | limping     | 2.5     | 14  |
      | short       | 0.5     | 6   |
      | short-third | 3       | 40  |
      | reset       | 0.3     | 6   |
      | timeout     | 2.5     | 4   |

  Scenario Outline: A path that some hosts have lost is avoided, not ejected
    Given the recorded trace "<trace>"
    When it is replayed with the policy of "pattern-store"
    Then the affected hosts stop using it within <seconds> s
    And at most <met> requests meet the fault
    And no other target is ejected

    Examples:
      | trace    | seconds | met |
      | one-zone | 2       | 5   |
      | one-host | 4       | 4   |

  Scenario Outline: Healthy targets stay
    Given the recorded trace "<trace>"
    When it is replayed with the policy of "pattern-store"
    Then no other target is ejected

    Examples:
      | trace      |
      | all-slow   |
      | none-heavy |

  Scenario Outline: A target that fails again stays out longer
    Given the recorded trace "<trace>"
    When it is replayed with the policy of "pattern-store"
    Then the ejections last <durations> s
    And no other target is ejected

    Examples:
      | trace      | durations  |
      | flapping   | 10, 20     |
      | misleading | 10, 20, 40 |
