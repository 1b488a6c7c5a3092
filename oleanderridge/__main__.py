"""Entry point of ``python -m oleanderridge``."""

import sys

from oleanderridge.cmdline import main

sys.exit(main())
