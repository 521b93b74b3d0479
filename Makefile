# Development commands. `make check` is the whole test command.

GOLANGCI_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools

export PATH := $(TOOLS):$(PATH)

.PHONY: tools check format-check lint build vet test generated generated-check bench demo

tools: $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION)

$(TOOLS)/golangci-lint-$(GOLANGCI_VERSION):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	touch $@

check: tools format-check vet lint build test

format-check:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { echo "not formatted:"; gofmt -l $$(git ls-files '*.go'); exit 1; }

vet:
	go vet ./...

lint: tools
	golangci-lint run ./...

build:
	go build ./...

test:
	go test -race -count=1 ./...

# Both need buf, protoc-gen-go and protoc-gen-go-grpc on the PATH; `check`
# leaves them out, since a fresh machine has none of them.
generated:
	cd peer/daemon && buf generate

generated-check: generated
	git diff --exit-code -- peer/daemon/proto

bench:
	go test -run '^$$' -bench . ./...

demo:
	go run . demo

# Reruns the measurements behind docs/CAPACITY.md and prints what follows.
.PHONY: capacity
capacity:
	{ go test -run '^$$' -bench . -benchtime 20x ./capacity; \
	  go test -run '^$$' -bench Spread -benchtime 1x ./control; \
	  go test -run '^$$' -bench Choose ./policy/placement; \
	  go test -run '^$$' -bench PlanRoles ./policy/fleet; } > capacity/measured.txt
	go run . capacity
