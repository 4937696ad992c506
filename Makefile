BUILD ?= build
CHECK ?= build-check
FUZZ ?= build-fuzz
JOBS ?= 4
SCALE ?= 1

.PHONY: packages build demo check lint format fuzz bench clean

packages:
	scripts/install-packages

build:
	cmake -S . -B $(BUILD) >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

demo: packages build
	scripts/demo $(BUILD)

check: packages lint
	cmake -S . -B $(CHECK) -DGUAVAFLOW_SANITIZE=ON >/dev/null
	cmake --build $(CHECK) -j $(JOBS)
	cmake -S . -B $(FUZZ) -DCMAKE_C_COMPILER=clang -DGUAVAFLOW_FUZZ=ON -DGUAVAFLOW_SANITIZE=ON >/dev/null
	cmake --build $(FUZZ) -j $(JOBS)
	scripts/check $(CHECK) $(FUZZ)

fuzz:
	cmake -S . -B $(FUZZ) -DCMAKE_C_COMPILER=clang -DGUAVAFLOW_FUZZ=ON -DGUAVAFLOW_SANITIZE=ON >/dev/null
	cmake --build $(FUZZ) -j $(JOBS)
	scripts/fuzz $(FUZZ) $(SCALE)

lint:
	scripts/lint

format:
	git ls-files -co --exclude-standard '*.c' '*.h' | grep -v _xdr | xargs clang-format -i

bench: build
	scripts/bench $(BUILD)

clean:
	rm -rf $(BUILD) $(CHECK) $(FUZZ) build-lint
