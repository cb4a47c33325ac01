"""Goals of section 2.4 of the design; measured figures must not change them."""

PROTECTED_CLASSES = ("counter", "order")
LOSSLESS_CLASSES = ("plan", "menu")
ATTAINMENT = 0.99
WASTED_CALM = 0.01
WASTED_CRASH = 0.03
WASTED_OF_BASELINE = 0.5
GOODPUT_OF_BASELINE_CALM = 0.95
NOISY_TEAM_COST = 0.02
