# Proof of the promises: histories judged by checkers.

SEEDS ?= 50
FIRST_SEED ?= 1
PROVE_PARALLEL ?= 4
MUTATION_BIN := $(BIN)/mutation
MUTATE := $(BIN)/sesame-prove --bin $(MUTATION_BIN) --parallel 1 --duration 5s --seeds 4

.PHONY: prove mutation recovery

prove: build ## run SEEDS histories of real processes under failures and judge them
	@$(GO) build -o $(BIN)/sesame-prove ./cmd/sesame-prove
	@$(BIN)/sesame-prove --seeds $(SEEDS) --first-seed $(FIRST_SEED) --parallel $(PROVE_PARALLEL) --bin $(BIN)

mutation: build ## switch off one guard at a time and require a checker to fail
	@$(GO) test -count=1 -tags sesame_mutation -run Mutation -v ./idempotency/...
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

recovery: build ## measure the time to recover from single failures
	@$(GO) build -o $(BIN)/sesame-prove ./cmd/sesame-prove
	@$(BIN)/sesame-prove --recovery --bin $(BIN)
