# Targets for people and CI. `make help` lists them.
MODULES := core gate mango stand
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
BIN := build

.PHONY: help build test race vet format lint generate check-generated demo bench prove policy capacity clean

help: ## list the targets
	@grep -hE '^[a-z-]+:.*##' Makefile | sed 's/:.*##/ -/'

build: ## build gate, mango and stand into build/
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./gate ./mango ./stand

test: ## run all tests
	go test $(PACKAGES)

race: ## run all tests with the race detector
	go test -race $(PACKAGES)

vet: ## run go vet
	go vet $(PACKAGES)

format: ## rewrite sources with gofumpt
	go tool gofumpt -w $(MODULES)

lint: ## check format and run revive
	@out=$$(go tool gofumpt -l $(MODULES)); test -z "$$out" || { echo "not formatted:"; echo "$$out"; exit 1; }
	go tool revive -set_exit_status $(PACKAGES)

generate: ## write the generated pages of docs/
	go run ./mango reference codes > docs/CODES.md
	go run ./mango reference commands > docs/COMMANDS.md

check-generated: ## fail if a generated page differs from the code
	@for page in codes commands; do \
		file=docs/$$(echo $$page | tr a-z A-Z).md; \
		go run ./mango reference $$page | diff -u $$file - || { echo "$$file differs: run make generate"; exit 1; }; \
	done

DEPLOYMENT ?= vlnka

demo: build ## run a stand, 8 gates and load with failures for under a minute (DEPLOYMENT=vlnka or hessian)
	scripts/demo $(DEPLOYMENT)

bench: build ## measure a gate's throughput and added latency against a direct client of the same upstreams
	scripts/bench

clean: ## remove build output
	rm -rf $(BIN)
