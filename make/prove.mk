# Tests of the guarantees: checkers over histories of real processes.

SEEDS ?= 50
FIRST_SEED ?= 1
PROVE_PARALLEL ?= 4
MUTATION_BIN := $(BIN)/mutation
MUTATE := $(BIN)/sesame-prove --bin $(MUTATION_BIN) --parallel 1 --duration 5s --seeds 4

.PHONY: prove mutation recovery

prove: build ## run SEEDS seeds of real processes with injected faults and check the guarantees
	@$(GO) build -o $(BIN)/sesame-prove ./cmd/sesame-prove
	@$(BIN)/sesame-prove --seeds $(SEEDS) --first-seed $(FIRST_SEED) --parallel $(PROVE_PARALLEL) --bin $(BIN)

mutation: build ## disable one guard at a time and require that a checker finds a violation
	@$(GO) test -count=1 -tags sesame_mutation -run Mutation -v ./idempotency/... ./limit/...
	@mkdir -p $(MUTATION_BIN)
	@$(GO) build -o $(BIN)/sesame-prove ./cmd/sesame-prove
	@for c in sesame-entry sesame-agent sesame-standin; do $(GO) build -tags sesame_mutation -o $(MUTATION_BIN)/$$c ./cmd/$$c || exit 1; done
	@$(MUTATE) --mutation idempotency.join
	@$(MUTATE) --mutation idempotency.body_sum
	@$(MUTATE) --mutation idempotency.incarnation --faults kill-agent
	@$(MUTATE) --mutation idempotency.refused_mark --first-seed 5
	@$(MUTATE) --mutation agent.whole_answer --faults service-short
	@$(MUTATE) --mutation configsync.version --faults config-stale-and-restart
	@$(MUTATE) --mutation node.drain --faults end-agent,end-entry

recovery: build ## measure the recovery times of single faults
	@$(GO) build -o $(BIN)/sesame-prove ./cmd/sesame-prove
	@$(BIN)/sesame-prove --recovery --bin $(BIN)
