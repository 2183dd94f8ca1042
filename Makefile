# Short targets for developers; CMake does the build.
BUILD ?= build
JOBS ?= $(shell nproc)
SANITIZE_DIR = build-asan
CMAKE_FLAGS ?= -DCMAKE_BUILD_TYPE=RelWithDebInfo
BENCHES = call converge rejoin storm overload faults drain capacity growth

# Excludes the tests in KNOWN-RED.txt, which fail because of a known fault.
# Quoted, since the filter contains parentheses.
LEAVE_OUT = $(addsuffix ',$(addprefix ',$(shell scripts/known-red.sh filter)))

.PHONY: all deps test unit functional test-asan lint format format-check \
	demo soak experiment bench install embed clean $(BENCHES:%=bench-%)

all: deps
	@cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

deps:
	@scripts/deps.sh

test: unit functional

unit: all
	$(BUILD)/unit_tests -j$(JOBS) $(LEAVE_OUT)

functional: all
	GERANIUMPLANK_BUILD=$(BUILD) $(BUILD)/functional_tests -j4 $(LEAVE_OUT)

test-asan: deps
	@cmake -S . -B $(SANITIZE_DIR) -G Ninja -DCMAKE_BUILD_TYPE=Debug \
		-DSANITIZE=ON >/dev/null
	@cmake --build $(SANITIZE_DIR) -j $(JOBS)
	LSAN_OPTIONS=suppressions=test/lsan.supp:print_suppressions=0 \
		$(SANITIZE_DIR)/unit_tests -j$(JOBS) $(LEAVE_OUT)
	LSAN_OPTIONS=suppressions=test/lsan.supp:print_suppressions=0 \
		GERANIUMPLANK_BUILD=$(SANITIZE_DIR) \
		$(SANITIZE_DIR)/functional_tests -j4 $(LEAVE_OUT)

lint: all
	@scripts/lint.sh $(BUILD)

format:
	@scripts/sources.sh | xargs clang-format -i

format-check:
	@scripts/sources.sh | xargs clang-format --dry-run -Werror

demo: all
	$(BUILD)/demo $(BUILD)

# SEED is the first schedule of faults, SEEDS the number of schedules, STEPS the
# length of each part in steps of 50 ms, NODES the number of nodes (4 to 68),
# each with an upstream. The schedules in the file FAILED run first.
SEED ?= 1
SEEDS ?= 2
STEPS ?= 100
NODES ?= 6
FAILED ?= soak/seeds.txt
soak: all
	$(BUILD)/soak $(BUILD) $(SEED) $(SEEDS) $(STEPS) $(NODES) $(FAILED)

# Compares replayed load with POLICY on and off; FORM=json prints JSON.
POLICY ?= seek_room
experiment: all
	@$(BUILD)/experiment $(POLICY) $(SEEDS) $(FORM)

bench: all
	@scripts/bench.sh $(BUILD) $(BENCHES)

$(BENCHES:%=bench-%): bench-%: all
	@$(BUILD)/bench_$* $(BUILD)

install: all
	@DESTDIR="$(DESTDIR)" cmake --install $(BUILD) >/dev/null

embed: all
	@scripts/embed.sh $(BUILD)

clean:
	rm -rf $(BUILD) $(SANITIZE_DIR)
