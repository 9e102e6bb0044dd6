"""Adapter between cranberryrun and the users' platform.

It translates names and formats and makes no scheduling decisions. Only the modules of
this package use the platform's names.
"""
