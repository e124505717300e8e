BUILD ?= build
SAN_BUILD ?= build-san
FUZZ_BUILD ?= build-fuzz
TSAN_BUILD ?= build-tsan
JOBS ?= 6
# Tests that run at a time; a test with processes counts as three.
TEST_JOBS ?= 8
FUZZ_SECONDS ?= 20
FUZZ_RUNS ?= 2000
# Known failing tests ("test:" in KNOWN-RED.txt), which CI skips and prints.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | \
	paste -sd '|' -)
SKIP_KNOWN_RED := $(if $(KNOWN_RED),-E '^($(KNOWN_RED))$$')

SOURCES := $(wildcard src/*.c src/*.h platform/*.c platform/*.h standin/*.c standin/*.h tests/*.c \
	tests/*.h fuzz/*.c bench/*.c)
LINTED := $(wildcard src/*.c platform/*.c standin/*.c)

.PHONY: all setup build demo check unit san tsan fuzz fuzz-fixed bench \
	format lint install clean

all: build

# Installs the missing packages; does nothing when all are present.
setup:
	@sh ./setup.sh

build: setup
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

demo: build
	@bash ./demo.sh $(BUILD)

check: build
	@ctest --test-dir $(BUILD) --output-on-failure -j $(TEST_JOBS) $(SKIP_KNOWN_RED)

san: setup
	@cmake -S . -B $(SAN_BUILD) -G Ninja -DCOLTSFOOT_SANITIZE=ON \
		-DCMAKE_C_COMPILER=clang >/dev/null
	@cmake --build $(SAN_BUILD) -j $(JOBS)
	@ctest --test-dir $(SAN_BUILD) --output-on-failure -j $(TEST_JOBS) -R '^test_' \
		$(SKIP_KNOWN_RED)

tsan: setup
	@cmake -S . -B $(TSAN_BUILD) -G Ninja -DCOLTSFOOT_TSAN=ON \
		-DCMAKE_C_COMPILER=clang >/dev/null
	@cmake --build $(TSAN_BUILD) -j $(JOBS)
	@ctest --test-dir $(TSAN_BUILD) --output-on-failure -j $(TEST_JOBS) -R '^test_' \
		$(SKIP_KNOWN_RED)

fuzz-build: setup
	@cmake -S . -B $(FUZZ_BUILD) -G Ninja -DCOLTSFOOT_SANITIZE=ON \
		-DCOLTSFOOT_FUZZ=ON -DCMAKE_C_COMPILER=clang >/dev/null
	@cmake --build $(FUZZ_BUILD) -j $(JOBS)

fuzz: fuzz-build
	@bash ./fuzz/run.sh $(FUZZ_BUILD) -max_total_time=$(FUZZ_SECONDS)

fuzz-fixed: fuzz-build
	@bash ./fuzz/run.sh $(FUZZ_BUILD) -seed=1 -runs=$(FUZZ_RUNS)

bench: build
	@for b in $(BUILD)/bench_*; do [ -x $$b ] && $$b; done

format:
	@clang-format -i $(SOURCES)

lint: build
	@clang-format --dry-run -Werror $(SOURCES)
	@printf '%s\n' $(LINTED) | xargs -P $(JOBS) -n 4 \
		clang-tidy --quiet -p $(BUILD) 2>/dev/null
	@cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr \
		--enable=warning,performance,portability \
		--suppress=missingIncludeSystem -I src -I platform -j $(JOBS) $(LINTED)

install: build
	@cmake --install $(BUILD)

clean:
	@rm -rf $(BUILD) $(SAN_BUILD) $(FUZZ_BUILD) $(TSAN_BUILD)
