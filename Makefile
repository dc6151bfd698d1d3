VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

SEED := 1
SEEDS := 1
MINUTES := 0.5

.PHONY: install demo soak test codestyle format measure clean

install: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: install
	$(PYTHON) -m tests.support.demo

test: install
	$(PYTHON) -m tests.run

soak: install
	$(PYTHON) -W ignore -m tests.soak.run --seed $(SEED) --seeds $(SEEDS) --minutes $(MINUTES)

codestyle: install
	$(PYTHON) -m black --quiet --check --diff papayalever tests benchmarks
	$(PYTHON) -m ruff check papayalever tests benchmarks

format: install
	$(PYTHON) -m black --quiet papayalever tests benchmarks
	$(PYTHON) -m ruff check --fix papayalever tests benchmarks

measure: install
	$(PYTHON) -m benchmarks.all

clean:
	rm -rf $(VENV)
