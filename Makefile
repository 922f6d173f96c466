# `make test` sets all up and runs the tests; `make demo` plays one rough evening and prints its verdict.
PYTHON ?= python3

.venv/dev: requirements.txt requirements-kit.txt requirements-dev.txt
	test -d .venv || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch .venv/dev

.PHONY: test demo
test: .venv/dev
	.venv/bin/ruff format -q --check molehill tests benchmarks
	.venv/bin/ruff check -q molehill tests benchmarks
	.venv/bin/mypy
	.venv/bin/python -m pytest -q

demo: .venv/dev
	.venv/bin/python -m molehill.cli emulate show docs/demo.toml --last 25
	.venv/bin/python -m molehill.cli emulate run docs/demo.toml
