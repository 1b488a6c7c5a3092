"""Model of served targets under a virtual clock.

The model drives the decision modules directly. Entry hosts are sources of
requests with a permit latency; membership, rates and bytes are not modelled.
"""
