# Everything runs from here; CMake does the building.
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = build-essential cmake clang-format clang-tidy pkg-config jq curl \
	libevent-dev libhttp-parser-dev libjansson-dev libmsgpack-dev libglib2.0-dev zlib1g-dev libgtest-dev \
	librapidcheck-dev spin
SOURCES = $(shell git ls-files -co --exclude-standard '*.c' '*.h' '*.cc')
C_SOURCES = $(shell git ls-files -co --exclude-standard \
	'lib/*.c' 'platform/*.c' 'programs/*.c')

all: build

build: $(BUILD)/CMakeCache.txt
	cmake --build $(BUILD) -j $(JOBS)

$(BUILD)/CMakeCache.txt:
	cmake -S . -B $(BUILD) $(CMAKE_FLAGS)

packages:
	apt-get update -qq
	DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES)

test: build sanitize
	tests/run_all $(BUILD) build-asan

# Long runs of the fleet's properties; RUNS and SEED choose how long and which.
RUNS ?= 2000
SEED ?= 1
props-long: build
	RC_PARAMS="max_success=$(RUNS) seed=$(SEED)" \
		$(BUILD)/tests/props/prop_core_fleet

# The fault soak with real processes; SEEDS is how many, from FROM on.
SEEDS ?= 10
FROM ?= 1
SECONDS ?= 20
soak: build
	tests/soak/run.sh $(BUILD) $(FROM) $$(($(FROM) + $(SEEDS) - 1)) $(SECONDS)

# The reader under libFuzzer, for FUZZ_SECONDS; needs `make fuzz-packages`.
FUZZ_SECONDS ?= 60
fuzz:
	cmake -S . -B build-fuzz -DCMAKE_C_COMPILER=clang \
		-DCMAKE_CXX_COMPILER=clang++ -DSL_FUZZ=ON -DSL_SANITIZE=ON
	cmake --build build-fuzz -j $(JOBS) --target fuzz_reader
	mkdir -p build-fuzz/corpus
	build-fuzz/tests/fuzz/fuzz_reader -max_total_time=$(FUZZ_SECONDS) \
		-max_len=4096 -artifact_prefix=build-fuzz/ build-fuzz/corpus

fuzz-packages:
	apt-get update -qq
	DEBIAN_FRONTEND=noninteractive apt-get install -y -qq clang \
		libclang-rt-dev

sanitize:
	$(MAKE) build BUILD=build-asan CMAKE_FLAGS=-DSL_SANITIZE=ON

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run -Werror $(SOURCES)

lint: $(BUILD)/CMakeCache.txt
	printf '%s\n' $(C_SOURCES) | xargs -P $(JOBS) -n 1 \
		clang-tidy -p $(BUILD) --quiet

demo: packages build
	tests/scripts/demo.sh $(BUILD)

bench: build
	tests/bench/run.sh $(BUILD)

clean:
	rm -rf build build-asan

.PHONY: all build packages test props-long soak fuzz fuzz-packages sanitize format format-check lint \
	demo bench clean
