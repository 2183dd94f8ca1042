# A thin layer over CMake: every target a developer needs, by one short name.
BUILD ?= build
JOBS ?= $(shell nproc)
SANITIZE_DIR = build-asan
CMAKE_FLAGS ?= -DCMAKE_BUILD_TYPE=RelWithDebInfo
BENCHES = call converge rejoin storm overload faults drain capacity

# Tests that fail for a known fault are left out, and named at the end.
# Quoted for the shell: the filter has parentheses.
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

# SEED and SEEDS: which schedules of faults; STEPS of 50 ms in each part, NODES
# 4 to 48, each with an upstream. Those of the file FAILED are played first.
SEED ?= 1
SEEDS ?= 2
STEPS ?= 100
NODES ?= 6
FAILED ?= soak/seeds.txt
soak: all
	$(BUILD)/soak $(BUILD) $(SEED) $(SEEDS) $(STEPS) $(NODES) $(FAILED)

# What a policy is worth in replayed load, with it on and off; FORM=json.
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
