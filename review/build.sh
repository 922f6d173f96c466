#!/bin/sh
# Builds the stand-ins that the cases start: plain Python of the standard library, compiled once.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review
