"""Translates between the product and the users' platform; decides nothing.

Only modules of this folder know the platform's names.
"""
