"""Tests of the programs: controller, early listener, settings and command line."""
