# Development commands. `make check` is the whole test command.

GOLANGCI := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BUF := github.com/bufbuild/buf/cmd/buf@v1.75.0
PROTOC_GEN_GO := google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
PROTOC_GEN_GO_GRPC := google.golang.org/grpc/cmd/protoc-gen-go-grpc@v1.6.2
TOOLS := $(CURDIR)/.tools

export PATH := $(TOOLS):$(PATH)

.PHONY: tools check format-check lint build vet test generated generated-check bench demo capacity soak

# Reinstalls the tools when this file, and so a version above, changes.
tools: $(TOOLS)/installed

$(TOOLS)/installed: Makefile
	mkdir -p $(TOOLS)
	for tool in $(GOLANGCI) $(BUF) $(PROTOC_GEN_GO) $(PROTOC_GEN_GO_GRPC); do GOBIN=$(TOOLS) go install $$tool || exit 1; done
	touch $@

check: tools format-check generated-check vet lint build test

format-check:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { echo "not formatted:"; gofmt -l $$(git ls-files '*.go'); exit 1; }

vet:
	go vet ./...

lint: tools
	golangci-lint run ./...

build:
	go build ./...

# Passes if exactly the tests that KNOWN-RED.txt lists fail.
#
# On arm64 the race detector itself crashes in some runs of tests with timers under
# testing/synctest: CHECK failed in tsan_rtl.cpp, or SIGSEGV in __tsan::SlotLock.
# There, and only there, the packages with such tests run without it.
#
# The tests of package crowd bound the memory of a process. They run after all others, one
# at a time.
TEST_FLAGS := -count=1 -timeout 40m
CROWD_FLAGS := -p 1 -parallel 1 $(TEST_FLAGS)
test:
ifeq ($(shell uname -m),aarch64)
	synctest=$$(go list -f '{{range .TestImports}}{{if eq . "testing/synctest"}}{{$$.ImportPath}} {{end}}{{end}}{{range .XTestImports}}{{if eq . "testing/synctest"}}{{$$.ImportPath}} {{end}}{{end}}' ./... | xargs -n1 | sort -u) && \
	others=$$(go list ./... | grep -Fvx "$$synctest" | grep -Fvx quincewinch/crowd) && \
	go run ./lib/knownred KNOWN-RED.txt -- -race $(TEST_FLAGS) $$others -- $(TEST_FLAGS) $$synctest -- $(CROWD_FLAGS) ./crowd
else
	others=$$(go list ./... | grep -Fvx quincewinch/crowd) && \
	go run ./lib/knownred KNOWN-RED.txt -- -race $(TEST_FLAGS) $$others -- $(CROWD_FLAGS) ./crowd
endif

generated: tools
	cd peer/daemon && buf generate

generated-check: generated
	git diff --exit-code -- peer/daemon/proto

bench:
	go test -run '^$$' -bench . ./...

demo:
	go run . demo

# Reruns the benchmarks behind docs/CAPACITY.md and prints the slopes and the
# costs that they predict.
capacity:
	{ go test -run '^$$' -bench . -benchtime 20x ./capacity; \
	  go test -run '^$$' -bench Spread -benchtime 1x ./control; \
	  go test -run '^$$' -bench Choose ./policy/placement; \
	  go test -run '^$$' -bench PlanRoles ./policy/fleet; } > capacity/measured.txt
	go run . capacity

# Runs the soak test with new seeds: injects faults into daemon processes on
# this machine. See docs/soak.md.
SEEDS := 10
soak:
	go test -count=1 -v -timeout 2h ./soak -args -seeds $(SEEDS) -seed $$(date +%s) -keep-logs soak/logs
